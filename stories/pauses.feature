Feature: Processes that are stopped and go on

  Scenario: Stopped for ten seconds, then let go on
    Given a fleet of 5
    When C is stopped
    And 10 seconds pass
    And C goes on
    Then everybody sees everybody alive within 15 seconds
    And nobody but C was ever called dead
    And C has accused nobody

  Scenario: Stopped for ten minutes, then let go on
    Given a fleet of 5
    When C is stopped
    And 10 minutes pass
    And C goes on
    Then everybody sees everybody alive within 90 seconds
    And nobody but C was ever called dead

  Scenario: All stopped but one
    Given a fleet of 5
    When B, C, D and E are stopped
    Then A is cut off within 30 seconds
    When 20 seconds pass
    And B, C, D and E go on
    Then everybody sees everybody alive within 90 seconds
    And A was never called dead

  Scenario: All stopped at once, then let go on
    Given a fleet of 5
    When A, B, C, D and E are stopped
    And 20 seconds pass
    And A, B, C, D and E go on
    Then everybody sees everybody alive within 10 seconds
    And nobody was ever called dead
    And A has accused nobody

  Scenario: Stopped again and again for two seconds
    Given a fleet of 5
    When C is stopped
    And 2 seconds pass
    And C goes on
    And 5 seconds pass
    And C is stopped
    And 2 seconds pass
    And C goes on
    And 10 seconds pass
    Then nobody was ever called dead
    And everybody sees everybody alive within 5 seconds

  Scenario: Killed while it stands still
    Given a fleet of 5
    When C is stopped
    And 5 seconds pass
    And C is killed
    Then the others find C dead within 40 seconds
    And nobody but C was ever called dead
