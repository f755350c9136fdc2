Feature: Parts that do not reach each other

  Scenario: Halves apart for a minute, and together again
    Given a fleet of 6
    When A, B and C are apart from D, E and F
    And 1 minute passes
    Then A, B and C see each other alive within 1 second
    And everybody divides budgets by 6
    When A, B and C are together with D, E and F again
    Then everybody sees everybody alive within 90 seconds
    And everybody divides budgets by 6

  Scenario: After two minutes apart each part divides by its own number
    Given a fleet of 6
    When A, B and C are apart from D, E and F
    And 4 minutes pass
    Then everybody divides budgets by 3
    When A, B and C are together with D, E and F again
    Then everybody divides budgets by 6 within 90 seconds

  Scenario: Parts that have only ever known each other as dead for 25 minutes
    Given a fleet of 5
    When A and B are apart from C, D and E
    And 25 minutes pass
    And A and B are together with C, D and E again
    Then everybody sees everybody alive within 2 minutes

  Scenario: One in the middle hears both parts
    Given a fleet of 5
    When A and B are apart from D and E
    And 2 minutes pass
    Then nobody was ever called dead
    And everybody divides budgets by 5

  Scenario: One apart from all others serves alone
    Given a fleet of 5
    When C is apart from all others
    Then C is cut off within 30 seconds
    And the others find C dead within 40 seconds
    When all links of C are whole again
    Then everybody sees everybody alive within 90 seconds
    And C is not cut off within 1 second

  Scenario: A newcomer on one side is known on the other
    Given a fleet of 4
    When A and B are apart from C and D
    And H starts with A as its only seed
    And 1 minute passes
    And A and B are together with C and D again
    Then everybody sees everybody alive within 2 minutes
    And everybody divides budgets by 5

  Scenario: A restart on one side takes the old one's place on the other
    Given a fleet of 4
    When A and B are apart from C and D
    And B is killed
    And B is restarted under the same name
    And 1 minute passes
    And A and B are together with C and D again
    Then the later B is seen alive by the others within 2 minutes

  Scenario: Parts find together with no seed's help
    Given a fleet of 5 whose only seed is A
    When A is killed
    And B and C are apart from D and E
    And 25 minutes pass
    And B and C are together with D and E again
    Then B, C, D and E see each other alive within 2 minutes
