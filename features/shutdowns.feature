Feature: What a process that ends owes to whoever waits for it

  Scenario: A relay that stops lets the calls end that it has passed on
    Given a store that keeps its answers back, and a relay in front of it
    When the relay has passed a call on and is told to stop
    And the store answers with 8000000 bytes, which the router reads late
    Then the router gets all of it, and then the end of the connection
    And the relay has told of 1 call in flight and ends with code 0

  Scenario: A relay that stops closes the connections on which nothing is asked
    Given a store that keeps its answers back, and a relay in front of it
    When another router's connection waits for nothing
    And the relay has passed a call on and is told to stop
    Then the other router's connection ends while the call is on its way

  Scenario: A call that reaches a relay too late is refused truly
    Given a store that keeps its answers back, and a relay in front of it
    When another router has sent half of a call
    And the relay has passed a call on and is told to stop
    And the other router sends the other half
    Then the other router gets 503 and the end of the connection
    And the store has got 1 call

  Scenario: A lender that leaves is asked no more
    Given 5 routers whose requests borrow from one lender
    When the lender is told to stop and ends 4 seconds later
    Then 3 seconds after it was told no other router takes it for a lender
    And none of the requests of these 8 seconds is refused
    And within 8 seconds the shared page is written at most 100 times

  Scenario: A router that ends gives back what its last requests didn't need
    Given 5 routers whose requests borrow from one lender
    When another one ends just after 20 requests that needed a tenth of their tokens
    Then the lender counts no more as spent than callers got

  Scenario: A router that ends with a loan on its way gives it back
    Given 5 routers whose requests borrow from one lender
    When another one ends while a loan is on its way for a caller that left
    Then the lender counts no more as spent than callers got

  Scenario Outline: News of changed settings doesn't end a process that starts
    Given a <program> that is reading its settings at its start
    When it is told that its settings have changed
    Then the <program> starts, and reads them again if it uses them later

    Examples:
      | program |
      | router  |
      | relay   |

  Scenario: A link is drained when its last bytes are handed over, not taken up
    Given a link whose peer reads late
    When 8 messages of 1000000 bytes are sent, and the link is drained and closed
    Then the peer has got all 8 messages

  Scenario: A run has ended when its end has been sent
    Given a link that keeps a run's last message waiting
    When the run ends
    Then the run doesn't count as ended before that message is on its way
