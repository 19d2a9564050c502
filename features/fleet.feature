Feature: A router's copies of the store's data, its store calls, retries and log

  Scenario: A target that is removed while the store loses its history is dropped at once
    Given a router's list with a target
    When the target is removed while the store drops its history
    Then the target gets no requests 0.1 seconds after the listing

  Scenario: An entry that lapsed in an outage is kept for a short time
    Given a router's list with a target
    When the store is down for 4 seconds and the entry is gone after it
    Then the target still serves 1.5 seconds after the store's return
    And the target gets no requests 3 seconds after it

  Scenario: Later lapsed entries don't extend the time for which entries are kept
    Given a router's list with a target
    When the store is down for 4 seconds and the target leaves 2 seconds later
    Then the target gets no requests 3 seconds after it

  Scenario: A target that drains never serves again
    Given a router's list with a target
    When the target drains and its entry says ready again
    Then the target gets no requests

  Scenario: A stale listing doesn't replace a newer catalogue
    Given a router's copy of the catalogue at version 7
    When version 5 is read from a stale listing
    Then the copy stays at version 7

  Scenario: A router on a slow link catches up with a catalogue that changed often
    Given a router that follows a catalogue of 60000 bytes over 1000000 bytes per second
    When the router is cut off while the catalogue changes 30 times
    Then it has the newest catalogue 2 seconds after the cut

  Scenario: Retries stay within the fleet's budget after a restart
    Given 5 routers that were all restarted, with a slack of 56
    When each makes as many retries as it can within the first window
    Then the fleet has made no more retries than a fifth of its requests
    And after a window it may use its slack

  Scenario: A call goes over a relay when the direct path is silent
    Given a store whose direct path is silent, and a relay
    When a call is made twice
    Then both calls are answered within 0.5 virtual seconds
    And the second call goes over the relay at once

  Scenario: A conditional write that is sent twice takes effect once
    Given 5 routers that have spent a third of a budget
    When answers are lost for 5 seconds and a second path brings the conflict
    Then the budget holds and most requests are served

  Scenario: No plan of a share exceeds what the budget has left
    When 300 generated accounts are planned for
    Then no cap leaves less than nothing of the budget

  Scenario: The log never blocks on its reader, and reports the dropped lines
    Given a log whose reader has stopped reading
    When 20000 events are written
    Then none of the writes blocks
    And the reader later finds how many lines were dropped

  Scenario: Arbitrary bytes in the platform's headers are read or refused
    When 300 generated heads of requests and answers are read
    Then each is read or refused with a status

  Scenario: A budget page is the same after encoding and decoding
    When 100 generated pages are written and read
    Then each is the same as before

  Scenario: A silent target with requests in flight gets no further requests
    Given two engines of which one is silent with a request in flight
    When an engine is chosen 0.5 and 1 seconds later
    Then the silent engine is chosen at first, as the preferred one, and avoided later

  Scenario: A change during a watch's answer comes with the next watch
    Given a store with a watch that is about to answer
    When a second key changes while the answer is on its way
    Then the next watch from the answer's revision brings it
