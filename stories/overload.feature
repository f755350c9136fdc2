Feature: Who is turned away when there is too much for all

  Scenario: In calm nobody is shed
    Given 9 instances with plans gold, silver and bronze
    When 1 minute passes
    Then nobody was shed

  Scenario: Twice what the boxes can do
    Given 9 instances with plans gold, silver and bronze
    When clients ask for 2 times what the boxes can do
    And 40 seconds pass
    Then gold keeps at least 95 % of its calm worth
    And bronze keeps at least 10 % of its calm worth
    And no order was shed between its steps
    When clients ask as before
    And 40 seconds pass
    Then nobody was shed in the last 10 seconds

  Scenario: Five times what the boxes can do
    Given 9 instances with plans gold, silver and bronze
    When clients ask for 5 times what the boxes can do
    And 40 seconds pass
    Then gold keeps at least 95 % of its calm worth
    And bronze keeps at least 10 % of its calm worth
    And no order was shed between its steps
    When clients ask as before
    And 40 seconds pass
    Then nobody was shed in the last 10 seconds

  Scenario: One zone has five times as much
    Given 9 instances in 3 zones with boxes of their own, and plans gold, silver and bronze
    When clients of one zone ask for 5 times as much
    And 40 seconds pass
    Then nobody was shed

  Scenario: One instance has five times as much
    Given 9 instances with plans gold, silver and bronze
    When clients of one instance ask for 5 times as much
    And 40 seconds pass
    Then nobody was shed

  Scenario: One pool's boxes are slow
    Given 9 instances with plans gold, silver and bronze
    When the boxes for orders are 3 times slower
    And 40 seconds pass
    Then nobody was shed

  Scenario: All boxes are three times slower
    Given 9 instances with plans gold, silver and bronze
    When all boxes are 3 times slower
    And 40 seconds pass
    Then somebody was shed
    And gold keeps at least 85 % of its calm worth
    And bronze keeps at least 10 % of its calm worth
    And no order was shed between its steps

  Scenario: All boxes are cold
    Given 9 instances with plans gold, silver and bronze
    When all boxes are cold, and warm after 40 seconds
    And 40 seconds pass
    Then somebody was shed
    And gold keeps at least 85 % of its calm worth
    When 40 seconds pass
    Then nobody was shed in the last 10 seconds

  Scenario: One tenant of the lowest plan floods
    Given 9 instances with plans gold, silver and bronze
    When one tenant of bronze asks for 25 times as much
    And 40 seconds pass
    Then gold keeps at least 85 % of its calm worth
    And the other tenants of bronze keep at least 60 % each
    And no order was shed between its steps

  Scenario: One tenant of the highest plan floods
    Given 9 instances with plans gold, silver and bronze
    When one tenant of gold asks for 40 times as much
    And 40 seconds pass
    Then the other tenants of gold keep at least 60 % each
    And bronze keeps at least 10 % of its calm worth
    And no order was shed between its steps

  Scenario: An overload that ends while half of the fleet is cut off
    Given 9 instances with plans gold, silver and bronze
    When clients ask for 2 times what the boxes can do
    And 20 seconds pass
    And half of the instances are apart from the others
    And 20 seconds pass
    Then gold keeps at least 95 % of its calm worth
    When clients ask as before
    And 15 seconds pass
    And all instances reach each other again
    And 30 seconds pass
    Then nobody was shed in the last 10 seconds

  Scenario: A tenant's plan rises on half of the instances
    Given 9 instances with plans gold, silver and bronze
    When clients ask for 2 times what the boxes can do
    And one tenant of silver becomes gold on half of the instances
    And 40 seconds pass
    Then gold keeps at least 95 % of its calm worth
    And bronze keeps at least 10 % of its calm worth
    And no order was shed between its steps

  Scenario: Thirty per cent of what instances tell of their load is lost
    Given 9 instances with plans gold, silver and bronze
    When 30 % of what instances tell of their load is lost
    And clients ask for 2 times what the boxes can do
    And 40 seconds pass
    Then gold keeps at least 95 % of its calm worth
    And bronze keeps at least 10 % of its calm worth
