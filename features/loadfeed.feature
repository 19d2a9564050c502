Feature: Routers learn the load of engines from the relays on the engines' hosts

  Scenario Outline: Datagrams that say nothing about a target now are dropped
    Given a router that has used datagram 5 of a relay
    When the router receives <datagram>
    Then the datagram is <outcome>

    Examples:
      | datagram                           | outcome |
      | the next datagram                  | used    |
      | datagram 5 again                   | dropped |
      | an earlier datagram                | dropped |
      | one for another router process     | dropped |
      | one from another address           | dropped |
      | one of 257 bytes                   | dropped |
      | one of another version             | dropped |
      | a truncated one                    | dropped |
      | random bytes                       | dropped |
      | an empty one                       | dropped |
      | one whose counts are negative      | dropped |
      | one that was sent 2.1 s ago        | dropped |
      | the first one of a restarted relay | used    |
      | a delayed one of an earlier relay  | dropped |

  Scenario: Random bytes harm neither a router nor a relay
    Then no random bytes raise an error, become a report or become a subscription

  Scenario: The age of a report is never taken for smaller than it is
    When reports travel between clocks that differ, over links whose delays vary
    Then no report is taken for younger than it is
    And none for older by more than the delays of the fastest subscription and its own

  Scenario: Of datagrams that arrive late in a burst the newest counts with its age
    When a router reads what arrived while it was suspended for 1.2 seconds
    Then the target's load is that of the newest, measured 0.3 seconds ago
    And the feed is not logged as lost

  Scenario: A feed and the headers of answers together tell the newest load
    When a fed report and an answer's header arrive in either order
    Then the target's load is that of the one that was made last
    And requests that this router sent after the fed report count in addition
    And 2 seconds after the last report only this router's own requests count

  Scenario: A target that starts again at its address isn't taken for its predecessor
    Given a feed whose target leaves and starts again at the same address
    When the predecessor's last report arrives late
    Then the successor is not taken for leaving, and its own reports are used

  Scenario: Targets that leave get no requests, and those that flap fill no log
    Then a target whose feed reports that it leaves gets no new requests
    And one that is listed and removed each second is logged 7 times a minute

  Scenario: Subscriptions expire, and their number is bounded
    When 65 routers subscribe to a relay, each once
    Then 64 of them get datagrams until 3 seconds later, and none after that
    And a new process at a subscriber's address replaces its subscription

  Scenario: 330 routers in front of 12,000 targets have few subscriptions each
    Then each router subscribes to 64 relays, and no relay gets more than 12 subscribers
    And the end of one target changes the subscriptions of few routers
    And a host with two engines gets no subscription

  Scenario: A relay without an engine costs a subscription every eight seconds
    When a relay doesn't answer for 5 minutes
    Then a router sends it at most 42 subscriptions, and one a second once it answers
    And one in two seconds when it falls silent again

  Scenario: The datagrams of a busy fleet are few and small
    When 30 routers get the load of 26 engines, which changes all the time, for 10 s
    Then each router gets at most 182 datagrams and 15000 bytes a second

  Scenario: Engines that don't change or don't answer cost little
    Then the load of one that stays the same is sent each 0.33 to 0.5 s
    And one that doesn't answer is polled at most 40 times a minute

  Scenario Outline: Reports of the platform's workers
    When a worker reports <report>
    Then <meaning>

    Examples:
      | report                                              | meaning                        |
      | waiting 2, running 7, kvUsed 30, kvTotal 40         | 7 run, 2 wait, 0.75 is in use  |
      | waiting 0, running 1, state ready, leaves_ms 900    | 1 run, 0 wait, 0.0 is in use   |
      | waiting 0, running 1, state draining                | 1 run, 0 wait, and it leaves   |
      | waiting 0, running 1, state closing, leaves_ms 900  | 1 run, 0 wait, and it leaves   |
      | waiting 0, running 1, state warming                 | 1 run, 0 wait, 0.0 is in use   |
      | waiting 0, running 1, other 5                       | 1 run, 0 wait, 0.0 is in use   |
      | waiting -1, running 1                               | the report is unreadable       |
      | running 1                                           | the report is unreadable       |

  Scenario: The settings name the engine only where the load feed is in use
    Then a relay's engine is known with the load feed, and not without it
    And an address of an engine that can't be read stops only programs with the feed
