Feature: Restarts

  Scenario: A restart under the same name before the old one was found dead
    Given a fleet of 5
    When C is killed
    And 2 seconds pass
    And C is restarted under the same name
    Then the later C is seen alive by the others within 10 seconds
    And everybody sees everybody alive within 10 seconds
    And everybody divides budgets by 5

  Scenario: A restart after the old one was found dead
    Given a fleet of 5
    When C is killed
    And 1 minute passes
    And C is restarted under the same name
    Then the later C is seen alive by the others within 10 seconds
    And everybody divides budgets by 5 within 10 seconds

  Scenario: A restart with a clock that has gone back a minute
    Given a fleet of 5
    When C is killed
    And C starts with a clock that is 1 minute behind
    Then the later C is seen alive by the others within 15 seconds
    And everybody sees everybody alive within 15 seconds

  Scenario: A restart with a clock that jumped an hour ahead, and back
    Given a fleet of 3
    When C is killed
    And C starts with a clock that is 60 minutes ahead
    Then the later C is seen alive by the others within 10 seconds
    When C is killed
    And C is restarted under the same name
    Then the later C is seen alive by the others within 15 seconds

  Scenario: Two processes under one name
    Given a fleet of 4
    When a second process starts under the name B
    Then the older B takes no part within 10 seconds
    And the later B is seen alive by the others within 10 seconds

  Scenario: All restart in turn
    Given a fleet of 3
    When A is told to end
    And A is restarted under the same name
    Then everybody sees everybody alive within 10 seconds
    When B is killed
    And B is restarted under the same name
    Then everybody sees everybody alive within 10 seconds
    When C is told to end
    And C is restarted under the same name
    Then everybody sees everybody alive within 10 seconds
