Feature: Who is there

  Scenario: They come together over their seeds
    Given a fleet of 7
    Then everybody sees everybody alive within 1 second
    And everybody divides budgets by 7

  Scenario: One that is killed is found dead by all
    Given a fleet of 5
    When C is killed
    Then the others find C dead within 40 seconds
    And nobody but C was ever called dead
    And everybody divides budgets by 5

  Scenario: A dead one's part is the others' after two minutes
    Given a fleet of 5
    When C is killed
    And 3 minutes pass
    Then everybody divides budgets by 4

  Scenario: A dead one is forgotten after half an hour
    Given a fleet of 3
    When C is killed
    And 33 minutes pass
    Then nobody knows C

  Scenario: One that is told to end is not suspected
    Given a fleet of 5
    When C is told to end
    Then the others see C left within 10 seconds
    And everybody divides budgets by 4 within 10 seconds
    And nobody was ever called dead

  Scenario: Seeds that are all down
    Given A starts with seeds that are all down
    When 1 minute passes
    Then A divides budgets by 1
    When B starts with A as its only seed
    Then A and B see each other alive within 10 seconds

  Scenario: One that starts while all seeds are dead
    Given a fleet of 5
    When A, B and C are killed
    And 1 minute passes
    And F starts with the others as seeds
    Then D and E see each other alive within 1 second
    When G starts with D as its only seed
    Then D, E and G see each other alive within 10 seconds

  Scenario: A seed that comes back is found by who waited for it
    Given F starts with seeds that are all down
    And A starts with F as its only seed
    Then A and F see each other alive within 10 seconds

  Scenario: Whoever comes later is known to all
    Given a fleet of 5
    When H starts with E as its only seed
    Then everybody sees everybody alive within 10 seconds
    And everybody divides budgets by 6

  Scenario: A clock that is five seconds behind counts nowhere
    Given a fleet of 4
    When E starts with a clock that is 5 seconds behind
    Then everybody sees everybody alive within 10 seconds
    When 1 minute passes
    Then nobody was ever called dead

  Scenario: A clock that is five seconds ahead counts nowhere
    Given a fleet of 4
    When E starts with a clock that is 5 seconds ahead
    Then everybody sees everybody alive within 10 seconds
    When 1 minute passes
    Then nobody was ever called dead

  Scenario: Another cluster is not heard
    Given a fleet of 3
    When X of the cluster "bakery" starts with the others as seeds
    And 1 minute passes
    Then nobody knows X
    And A has counted what it dropped as foreign
    And A, B and C see each other alive within 1 second
