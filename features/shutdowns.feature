Feature: Processes complete work in progress before they end

  Scenario: A relay that stops completes the calls that it has forwarded
    Given a store that holds back its answers, and a relay in front of it
    When the relay has forwarded a call and is told to stop
    And the store answers with 8000000 bytes, which the router reads late
    Then the router gets all of it, and then the end of the connection
    And the relay has reported 1 call in flight and ends with code 0

  Scenario: A relay that stops closes idle connections
    Given a store that holds back its answers, and a relay in front of it
    When another router's connection is idle
    And the relay has forwarded a call and is told to stop
    Then the other router's connection ends while the call is in progress

  Scenario: A call that reaches a stopping relay is refused and not forwarded
    Given a store that holds back its answers, and a relay in front of it
    When another router has sent half of a call
    And the relay has forwarded a call and is told to stop
    And the other router sends the other half
    Then the other router gets 503 and the end of the connection
    And the store has received 1 call

  Scenario: A lender that leaves gets no more loan requests
    Given 5 routers whose requests borrow from one lender
    When the lender is told to stop and ends 4 seconds later
    Then 3 seconds after the signal no other router lists it as a lender
    And none of the requests of these 8 seconds is refused
    And within 8 seconds the shared page is written at most 100 times

  Scenario: A router that ends returns the tokens that its last requests didn't use
    Given 5 routers whose requests borrow from one lender
    When another one ends just after 20 requests that used a tenth of their tokens
    Then the lender counts no more as spent than callers got

  Scenario: A router that ends during a loan for a departed caller returns the loan
    Given 5 routers whose requests borrow from one lender
    When another one ends during a loan for a caller that left
    Then the lender counts no more as spent than callers got

  Scenario Outline: SIGHUP during startup doesn't end a process
    Given a <program> that is reading its settings at startup
    When it is told that its settings have changed
    Then the <program> starts, and reads them again if it uses them later

    Examples:
      | program |
      | router  |
      | relay   |

  Scenario: Draining a link waits until its last bytes are sent, not only taken from the queue
    Given a link whose peer reads late
    When 8 messages of 1000000 bytes are sent, and the link is drained and closed
    Then the peer has got all 8 messages

  Scenario: A run counts as ended once its last message has been sent
    Given a link that observes a run while its last message is sent
    When the run ends
    Then the run doesn't count as ended before that message is sent
