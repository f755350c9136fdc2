Feature: An order runs once, wherever its client repeats it

  Scenario: An order that is repeated at another instance gets its answer
    Given 5 instances that remember orders
    When a client places order pasta at A
    Then the client has the answer to order pasta within 1 second
    When the client repeats order pasta at B
    Then the client has the answer to order pasta within 1 second
    And order pasta has run once
    And order pasta waited at most 50 milliseconds for the others

  Scenario: The instance is killed between attempt and answer
    Given 5 instances that remember orders
    When a client places order pizza at A
    And a box begins order pizza
    And instance A is killed
    And the client repeats order pizza at B
    Then the client is told in words why order pizza is not sent again
    And order pizza has run once

  Scenario: The instance is killed, and the others have found it dead
    Given 5 instances that remember orders
    When a client places order soup at A
    And a box begins order soup
    And instance A is killed
    And all know who is there
    And the client repeats order soup at another instance
    Then the client is told in words why order soup is not sent again
    And order soup has run once

  Scenario: The instance is killed and comes back knowing nothing
    Given 5 instances that remember orders
    When a client places order curry at A
    And a box begins order curry
    And instance A is killed
    And instance A is started again
    And all know who is there
    And the client repeats order curry at A
    Then the client is told in words why order curry is not sent again
    And order curry has run once

  Scenario: One of the two who remember it is killed
    Given 5 instances that remember orders
    When a client places order bread at A
    And the client has the answer to order bread within 1 second
    And the owners of order bread are killed, but one
    And the client repeats order bread at another instance
    Then the client has the answer to order bread within 1 second
    And order bread has run once

  Scenario: Both who remember it are killed
    Given 5 instances that remember orders
    When a client places order salad at A
    And a box begins order salad
    And both owners of order salad are killed
    And the client repeats order salad at another instance
    Then the client is told in words why order salad is not sent again
    And order salad has run once

  Scenario: One is stopped in the middle of its hand-over
    Given 7 instances that remember orders
    When a client places order jam at A
    Then the client has the answer to order jam within 1 second
    When the first owner of order jam hands over what it remembers, and is stopped for 10 seconds in the middle of it
    And 12 seconds pass
    And the second one is killed too
    And 1 second passes
    And the client repeats order jam at another instance
    Then the client has the answer to order jam within 1 second
    And order jam has run once

  Scenario: The instance is stopped between attempt and answer, and goes on
    Given 5 instances that remember orders
    When a client places order cake at A
    And a box begins order cake
    And instance A is stopped for 10 seconds
    And the client repeats order cake at another instance
    Then the client is told in words why order cake is not sent again
    When 12 seconds pass
    And the client repeats order cake at another instance
    Then the client has the answer to order cake within 1 second
    And order cake has run once

  Scenario: A box that does not answer
    Given 5 instances that remember orders
    And the boxes of instance A do not answer
    When a client places order fish at A
    And 1 second passes
    And the client repeats order fish at C
    Then the client is told in words why order fish is not sent again
    And order fish has run once

  Scenario: A repeat at an instance that is cut off
    Given 5 instances that remember orders
    When a client places order rice at A
    And a box begins order rice
    And instance D is cut off
    And all know who is there
    And the client repeats order rice at D
    Then the client is told in words why order rice is not sent again
    And order rice has run once

  Scenario: Two instances get one order at once
    Given 5 instances that remember orders
    When a client places order beans at A
    And the client repeats order beans at B
    And 2 seconds pass
    Then order beans has run at most once

  Scenario: A clock that is five seconds off forgets nothing early
    Given 5 instances that remember orders
    And instance B's clock is 5 seconds ahead
    When a client places order tart at A
    And a box begins order tart
    And instance A is killed
    And 40 seconds pass
    And the client repeats order tart at B
    Then the client is told in words why order tart is not sent again
    And order tart has run once

  Scenario: Thirty per cent of the messages between instances lost
    Given 5 instances that remember orders
    And 30 % of the messages between instances are lost
    When a client places order stew at A
    And 2 seconds pass
    And the client repeats order stew at C
    And 2 seconds pass
    Then order stew has run at most once

  Scenario: What is safe waits for nobody
    Given 5 instances that remember orders
    When instance A is cut off
    And a client reads menu today at A
    Then menu today waited for nobody
