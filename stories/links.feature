Feature: Links that fail

  Scenario: A cut in one direction between two of five
    Given a fleet of 5
    When B does not hear A any more
    And 2 minutes pass
    Then nobody was ever called dead
    And everybody divides budgets by 5
    When B hears A again
    Then everybody sees everybody alive within 1 minute

  Scenario: One that hears nobody knows that it is cut off
    Given a fleet of 5
    When C hears nobody any more
    Then C is cut off within 30 seconds
    And nobody but C is cut off
    When all links of C are whole again
    Then everybody sees everybody alive within 90 seconds

  Scenario: One that nobody hears finds that out
    Given a fleet of 5
    When nobody hears C any more
    Then C is cut off within 30 seconds
    And nobody but C is cut off
    When all links of C are whole again
    Then everybody sees everybody alive within 90 seconds

  Scenario: A cut that turns round every second
    Given a fleet of 5
    When the link between A and B fails in one direction, which turns round every second
    And 2 minutes pass
    Then nobody was ever called dead
    When the link between A and B is whole again
    Then everybody sees everybody alive within 1 minute

  Scenario: Thirty per cent of the messages lost for a minute
    Given a fleet of 7
    When 30 % of the messages are lost
    And 1 minute passes
    Then nobody was ever called dead
    When the network is good again
    Then everybody sees everybody alive within 30 seconds

  Scenario: One that is killed is found dead in spite of thirty per cent loss
    Given a fleet of 7
    When 30 % of the messages are lost
    And C is killed
    Then the others find C dead within 60 seconds
    And nobody but C was ever called dead

  Scenario: Messages that come twice and overtake each other
    Given a fleet of 5
    When 20 % of the messages come twice, up to 1 second late
    And 1 minute passes
    Then nobody was ever called dead
    And everybody divides budgets by 5

  Scenario: A message a minute old
    Given a fleet of 3
    And what A sends to B is copied
    When 1 minute passes
    And A is killed
    Then the others find A dead within 40 seconds
    When B gets those copies again
    And 10 seconds pass
    Then the others find A dead within 40 seconds

  Scenario: A message of the process before
    Given a fleet of 3
    When A is stopped
    And 6 seconds pass
    And A goes on
    And 5 seconds pass
    And what A sends to B is copied
    And 1 minute passes
    And A is killed
    And A is restarted under the same name
    Then the later A is seen alive by the others within 10 seconds
    When B gets those copies again
    Then the later A is seen alive by the others for the next 20 seconds

  Scenario: Messages that are repeated a hundred times
    Given a fleet of 3
    And what A sends to B is copied
    When 1 minute passes
    And B gets those copies 100 times over
    And 1 minute passes
    Then nobody was ever called dead
    And everybody sees everybody alive within 1 second

  Scenario: Messages that are cut short
    Given a fleet of 3
    And what A sends to B is copied
    When 1 minute passes
    And B gets those copies cut short
    And 10 seconds pass
    Then B has counted what it dropped as garbage
    And nobody was ever called dead
    And everybody sees everybody alive within 1 second
