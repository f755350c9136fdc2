Feature: Upgrades under load, and the way back

  Scenario: A rolling upgrade of seven
    Given 7 members of release 1
    And each counts requests and marks orders
    When all are restarted in turn with release 3
    Then schema 3 is written by all within 25 seconds
    And all know every count and mark within 60 seconds
    And nobody was told that it is too old
    And nobody got what it cannot read

  Scenario: While one reads no more, nobody writes more
    Given 7 members of release 1
    When the first 6 are restarted in turn with release 3
    And 1 minute passes
    Then schema 1 is still written by all
    When member G is restarted with release 3
    Then schema 3 is written by all within 25 seconds

  Scenario: An upgrade that is killed half-way and rolled back
    Given 7 members of release 2
    And each counts requests and marks orders
    When the first 3 are restarted in turn with release 3
    And member D ends and is not started again
    And the first 3 are restarted in turn with release 2
    And member D is restarted with release 2
    Then schema 2 is written by all within 25 seconds
    And all know every count and mark within 60 seconds
    And nobody was told that it is too old

  Scenario: A rolled-back upgrade is tried again
    Given 7 members of release 2
    When the first 3 are restarted in turn with release 3
    And the first 3 are restarted in turn with release 2
    And each counts requests and marks orders
    And all are restarted in turn with release 3
    Then schema 3 is written by all within 25 seconds
    And all know every count and mark within 60 seconds

  Scenario: The operator takes a schema back, and older releases come
    Given 5 members of release 3
    When each counts requests and marks orders
    And the operator holds schema 2 at all
    Then schema 2 is written by all within 25 seconds
    And older releases may be started within 60 seconds
    When all are restarted in turn with release 2
    Then schema 2 is still written by all
    And nobody was told that it is too old

  Scenario: Marks outlive a release that does not know them
    Given 5 members of release 3
    When 20 seconds pass
    And each counts requests and marks orders
    And the operator holds schema 2 at all
    Then schema 2 is written by all within 25 seconds
    When the operator holds schema 0 at all
    Then schema 3 is written by all within 25 seconds
    And all know every count and mark within 60 seconds

  Scenario: One forgotten file does not pull the fleet down
    Given 5 members of release 3
    When the operator holds schema 2 at C
    And 1 minute passes
    Then schema 3 is still written by all

  Scenario: One member's file holds a rise back
    Given 5 members of release 2
    When the operator holds schema 2 at A
    And the last 4 are restarted in turn with release 3
    And member A is restarted with release 3
    And the operator holds schema 2 at A
    And 1 minute passes
    Then schema 2 is still written by all

  Scenario: A schema that cannot go down
    Given 5 members of release 4, where the schema of release 4 cannot go down
    When the operator holds schema 3 at all
    And 1 minute passes
    Then the operator is told why it is refused

  Scenario: An upgrade on one side while halves are apart
    Given 6 members of release 2
    And each counts requests and marks orders
    When the members' halves are apart
    And the first 3 are restarted in turn with release 3
    And 1 minute passes
    Then schema 2 is still written by all
    When the members' halves are together again
    And the last 3 are restarted in turn with release 3
    Then schema 3 is written by all within 25 seconds
    And all know every count and mark within 60 seconds
    And nobody was told that it is too old

  Scenario: Two upgrades while one member sleeps
    Given 5 members of release 1
    When member E sleeps
    And the first 4 are restarted in turn with release 2
    And the first 4 are restarted in turn with release 3
    And 1 minute passes
    Then schema 1 is still written by all
    When member E wakes
    And member E is restarted with release 3
    Then schema 3 is written by all within 25 seconds

  Scenario: One that slept until it was forgotten is told that it is too old
    Given 5 members of release 1
    When member E sleeps
    And the first 4 are restarted in turn with release 3
    And 40 minutes pass
    Then schema 3 is still written by all
    When member E wakes
    Then member E is told that it is too old within 25 seconds
    And nobody got what it cannot read
    When member E is restarted with release 3
    Then schema 3 is written by all within 25 seconds
