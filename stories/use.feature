Feature: A limit that all instances keep together

  Scenario: Below its limit hardly anybody is refused
    Given a fleet of 5 that shares a limit of 1000 requests a second
    When 30 seconds pass
    Then at most 1 % of the requests were refused

  Scenario: A flood of three times the limit
    Given a fleet of 5 that shares a limit of 1000 requests a second
    When clients ask for 3 times the limit
    And 5 seconds pass
    And it is counted from here on
    And 30 seconds pass
    Then at most 2 % beyond the limit was let in over any ten seconds
    And at least 95 % of the limit was let in

  Scenario: The beginning of a flood costs a second of the limit
    Given a fleet of 5 that shares a limit of 1000 requests a second
    When clients ask for 10 times the limit
    And 20 seconds pass
    Then at most 11 % beyond the limit was let in over any ten seconds

  Scenario: Half of all clients come to one instance
    Given a fleet of 5 that shares a limit of 1000 requests a second
    When half of the clients come to A
    And clients ask for 3 times the limit
    And 10 seconds pass
    And it is counted from here on
    And 30 seconds pass
    Then at most 2 % beyond the limit was let in over any ten seconds
    And at least 90 % of the limit was let in

  Scenario: A tenant's flood on both sides of a cut
    Given a fleet of 6 that shares a limit of 1000 requests a second
    When the fleet's halves are apart
    And clients ask for 10 times the limit
    And 10 seconds pass
    And it is counted from here on
    And 1 minute passes
    Then at most 2 % beyond the limit was let in over any ten seconds
    And at least 40 % of the limit was let in

  Scenario: The halves come together in the middle of a flood
    Given a fleet of 6 that shares a limit of 1000 requests a second
    When the fleet's halves are apart
    And clients ask for 3 times the limit
    And 1 minute passes
    And it is counted from here on
    And the fleet's halves are together again
    And 30 seconds pass
    Then at most 11 % beyond the limit was let in over any ten seconds

  Scenario: Thirty per cent of the words lost in a flood
    Given a fleet of 5 that shares a limit of 1000 requests a second
    When 30 % of the words about use are lost
    And clients ask for 3 times the limit
    And 10 seconds pass
    And it is counted from here on
    And 1 minute passes
    Then at most 5 % beyond the limit was let in over any ten seconds

  Scenario: A clock that is five seconds behind
    Given a fleet of 5 that shares a limit of 1000 requests a second
    When the clock of A is 5 seconds behind
    And clients ask for 3 times the limit
    And 10 seconds pass
    And it is counted from here on
    And 30 seconds pass
    Then at most 2 % beyond the limit was let in over any ten seconds

  Scenario: A clock that jumps every second
    Given a fleet of 5 that shares a limit of 1000 requests a second
    When the clock of A jumps every second, by up to 5 seconds
    And clients ask for 3 times the limit
    And 10 seconds pass
    And it is counted from here on
    And 30 seconds pass
    Then at most 80 % beyond the limit was let in over any ten seconds

  Scenario: One that is not heard takes its fair part and no more
    Given a fleet of 5 that shares a limit of 1000 requests a second
    When nobody hears the words of A, and it was told so
    And clients ask for 3 times the limit
    And 10 seconds pass
    And it is counted from here on
    And 30 seconds pass
    Then at most 2 % beyond the limit was let in over any ten seconds

  Scenario: One that ends without a word leaves the limit kept
    Given a fleet of 5 that shares a limit of 1000 requests a second
    When clients ask for 3 times the limit
    And 10 seconds pass
    And instance B ends without a word
    And it is counted from here on
    And 30 seconds pass
    Then at most 2 % beyond the limit was let in over any ten seconds
    And at least 60 % of the limit was let in
