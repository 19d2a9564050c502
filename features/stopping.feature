Feature: A router that is told to stop

  Guards against answers that are cut off when a router stops. The listener stayed open
  for 3.2 s after the signal, and every request that arrived was accepted, but the
  process ended at 7 s of a grace time of 8 s, whatever was still running, waiting or
  in the send buffers. Routers were stopped one every 0.25 s, so the balancer had to
  use stopping ones.

  A stream of 4.2 s that arrived at 3.1 s, on a new or a kept connection, got 200 with
  "Connection: close" and 666 bytes, and was cut off at 7.10 s without its last chunk;
  a request behind a late stream had even less time. A stream of 1.5 s that arrived at
  1 s was complete. In a recorded case, a request sent at 3.03 s was passed to its target
  at 3.14 s and cut off at 7.015 s. The scenarios run in virtual time.

  Scenario: A long stream arrives on a new connection after the balancer's notice time
    Given a running router whose target takes 4.2 or 6 s for a stream
    When the router is told to stop, and the stream is requested 3.1 s later on a new connection
    Then the caller gets the complete answer, or an immediate 503 with Retry-After and nothing reaches the target

  Scenario: A long stream arrives on a kept connection after the balancer's notice time
    Given a running router whose target takes 4.2 or 6 s for a stream
    When the router is told to stop, and the stream is requested 3.1 s later on a kept connection
    Then the caller gets the complete answer, or an immediate 503 with Retry-After and nothing reaches the target

  Scenario: A request follows immediately on the connection of a stream that ended late
    Given a running router whose target takes 3 s for a stream
    When the router is told to stop, and an earlier stream ends 6.5 s later with another one requested right after it
    Then the earlier stream is complete
    And the later one is complete, or was refused or not accepted and nothing reached the target

  Scenario: A request that waits for tokens when the process ends gets a status
    Given a running router whose callers prepay
    When the router is told to stop, the store becomes slow, and requests for tokens arrive every 0.1 s from 5 s on until the grace time ends
    Then each that the router has read is answered with 503, and none reaches the target

  Scenario: A request whose target never answers gets a status when the process ends
    Given a running router whose target never sends a byte
    When requests of each kind are sent to the target, and the router is told to stop
    Then each gets a final status that does not say that it did not run

  Scenario: An answer on a slow link is complete before the process ends
    Given a running router, a slow link to its callers, and large answers
    When the router is told to stop, and the answers are written 0.5 s later
    Then the callers get every byte

  Scenario: A stream started before the signal ends late within the grace time
    Given a running router
    When the router is told to stop, and a stream started before it ends 7.3 s later
    Then the earlier stream is complete
    And the process has ended by itself within the grace time

  Scenario: Short answers started soon after the signal are complete and close their connections
    Given a running router whose target takes 1.5 s for a stream
    When the router is told to stop, and a stream and a plain request are sent 1 s later
    Then both answers are complete and say that the connection closes
    And the process has ended by itself within the grace time

  Scenario: Short requests are served as long as a stream keeps the process running
    Given a running router
    When the router is told to stop, a stream started before it ends 6 s later, and plain requests arrive 3.5 and 4.5 s later on new connections
    Then all answers are complete

  Scenario: A new connection is kept open for its first request
    Given a running router
    When the router is told to stop, a stream started before it ends 6 s later, and a caller connects 3.5 s later and sends a request 0.15 s after that
    Then all answers are complete

  Scenario: Late requests are refused with the time at which a router may be back
    Given a running router
    When the router is told to stop, a stream started before it ends 6 s later, and streams are requested 3.1 s later on a kept and 3.5 s later on a new connection
    Then the first may retry within 0.2 s, and the second when 5.4 to 5.8 s have passed since the signal

  Scenario: A failed background task ends the process without cutting off answers
    Given a running router
    When one of its background tasks fails while a stream of 3 s runs
    Then all answers are complete
    And the process has ended by itself and reports that it failed

  Scenario: A request that is completed while the account is written gets an answer
    Given a running router whose callers prepay
    When the router is told to stop, writes take 0.25 s, and the last byte of a request arrives at each 0.02 s from 6.9 to 7.6 s
    Then each that the router has read is answered, and none is run and cut off

  Scenario: A connection that arrives during the last check is served or refused
    Given a running router whose callers prepay
    When the router is told to stop, writes take 0.4 s, and a caller's connection arrives in the event loop iteration 3.2 s after the signal
    Then each that the router has read is answered, and none is run and cut off

  Scenario Outline: The planned times of a stop fit into any grace time
    When a stop is planned with a grace time of <grace> s
    Then its times are in order, and final answers are sent within its last sixth

    Examples:
      | grace |
      | 0     |
      | 0.3   |
      | 3     |
      | 8     |
      | 60    |

  Scenario: A router is told to stop just as a request times out
    Given a running router whose target never sends a byte
    When the router is told to stop with a grace time of 0.3 s as the timeout of a request expires
    Then each process has ended by itself

  Scenario: A router that leaves while it renews its entry is removed from the list at once
    Given a router in the list of routers
    When it leaves in the middle of a renewal that takes 0.2 s
    Then it is off the list 0.5 s later

  Scenario Outline: A paused process handles the signal late and ends in time
    Given a running router whose target takes 15 s for a stream
    When the signal arrives while the process is paused for <paused> s, and another stream is requested 1 s after that
    Then the later one is complete, or was refused or not accepted and nothing reached the target
    And the process has ended by itself within the grace time

    Examples:
      | paused |
      | 3.5    |
      | 7.7    |

  Scenario: A router that leaves limits its calls to a store that fails immediately
    Given a router in the list of routers
    When it leaves while the store is down for 3 s
    Then it has called the store at most 60 times, and is off the list when the store is back
