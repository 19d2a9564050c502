Feature: A router that is told to stop

  Callers got 200 and the first events of a stream, and then their connection was
  closed in the middle of the answer.

  The order of events, in seconds after the signal to stop, from the record of one such
  request (whether its connection was new isn't told): 3.03 a caller sends it;
  3.14 it is sent on, and its target runs it; 7.015 the process closes the caller's
  connection and ends. The grace time was 8 s. Routers were stopped one each quarter
  of a second, so that the balancer had to use leaving ones.

  The cause: the listener stayed open for 3.2 s after the signal and what came was
  served like any other request, but the process ended at 7 s, whatever was still
  running, waiting or in the buffers to callers. A stream that came at 3.1 s had
  3.9 s. So had one on a kept connection, and a request behind a late stream less.

  The evidence: played in virtual time, a stream of 4.2 s that came at 3.1 s got 200
  with "Connection: close" and 666 bytes, and was cut at 7.10 s without the last chunk,
  on a new and on a kept connection alike; the same stream that came at 1 s and took
  1.5 s was whole.

  Scenario: A long stream comes on a new connection when the balancer should know
    Given a running router whose target takes 4.2 or 6 s for a stream
    When the router is told to stop, and the stream is asked for 3.1 s later on a new connection
    Then the caller gets the whole answer, or 503 at once with a time to come back and the target saw nothing

  Scenario: A long stream comes on a kept connection when the balancer should know
    Given a running router whose target takes 4.2 or 6 s for a stream
    When the router is told to stop, and the stream is asked for 3.1 s later on a kept connection
    Then the caller gets the whole answer, or 503 at once with a time to come back and the target saw nothing

  Scenario: A request follows at once on the connection of a stream that ended late
    Given a running router whose target takes 3 s for a stream
    When the router is told to stop, and an earlier stream ends 6.5 s later with another one asked for right after it
    Then the earlier stream is whole
    And the later one is whole, or was refused or not taken and the target saw nothing

  Scenario: A request that waits for tokens when the process ends is refused in words
    Given a running router whose callers prepay
    When the router is told to stop, the store grows slow, and requests for tokens come each 0.1 s from 5 s on until the grace time ends
    Then each that the router has read is answered with 503, and the target saw none

  Scenario: A request whose target is silent when the process ends gets a status
    Given a running router whose target never gives a byte
    When requests of each kind are sent on, and the router is told to stop
    Then each gets a final status that does not say that it did not run

  Scenario: An answer that a slow link still carries is whole before the process ends
    Given a running router, a slow link to its callers, and large answers
    When the router is told to stop, and the answers are written 0.5 s later
    Then the callers get every byte

  Scenario: A stream begun before the signal ends late within the grace time
    Given a running router
    When the router is told to stop, and a stream begun before it ends 7.3 s later
    Then the earlier stream is whole
    And the process has ended by itself within the grace time

  Scenario: Short answers begun soon after the signal are whole and close their connections
    Given a running router whose target takes 1.5 s for a stream
    When the router is told to stop, and a stream and a plain request are asked for 1 s later
    Then both answers are whole and say that the connection closes
    And the process has ended by itself within the grace time

  Scenario: Short requests are served as long as a stream keeps the process
    Given a running router
    When the router is told to stop, a stream begun before it ends 6 s later, and plain requests come 3.5 and 4.5 s later on new connections
    Then all answers are whole

  Scenario: A connection that has just come is kept for its first request
    Given a running router
    When the router is told to stop, a stream begun before it ends 6 s later, and a caller connects 3.5 s later and asks 0.15 s after that
    Then all answers are whole

  Scenario: Whoever the balancer sends so late is told when a router may be back
    Given a running router
    When the router is told to stop, a stream begun before it ends 6 s later, and streams come 3.1 s later on a kept and 3.5 s later on a new connection
    Then the first may come back within 0.2 s, and the second when 5.4 to 5.8 s have passed since the signal

  Scenario: A failed part ends the process without cutting answers off
    Given a running router
    When one of its background tasks fails while a stream of 3 s runs
    Then all answers are whole
    And the process has ended by itself and tells that it failed

  Scenario: A request that becomes whole while the account is written gets an answer
    Given a running router whose callers prepay
    When the router is told to stop, writes take 0.25 s, and the last byte of a request comes at each 0.02 s from 6.9 to 7.6 s
    Then each that the router has read is answered, and none is run and cut off

  Scenario: A connection that lands as the last look is taken is served or refused
    Given a running router whose callers prepay
    When the router is told to stop, writes take 0.4 s, and the connection of a caller lands in the turn that comes 3.2 s after the signal
    Then each that the router has read is answered, and none is run and cut off

  Scenario Outline: The moments of a stop fit into any grace time
    When a stop is planned with a grace time of <grace> s
    Then its moments are in order, and last answers come within its last sixth

    Examples:
      | grace |
      | 0     |
      | 0.3   |
      | 3     |
      | 8     |
      | 60    |

  Scenario: A stop finds a request whose time has just run out
    Given a running router whose target never gives a byte
    When the router is told to stop with a grace time of 0.3 s as the time of a request runs out
    Then each process has ended by itself

  Scenario: A router that leaves while it renews its entry is off the list at once
    Given a router in the list of routers
    When it leaves in the middle of a renewal that takes 0.2 s
    Then it is off the list 0.5 s later

  Scenario Outline: A process that stood still takes the signal late and ends in time
    Given a running router whose target takes 15 s for a stream
    When the signal finds the process standing still for <still> s, and another stream is asked for 1 s after that
    Then the later one is whole, or was refused or not taken and the target saw nothing
    And the process has ended by itself within the grace time

    Examples:
      | still |
      | 3.5   |
      | 7.7   |

  Scenario: A router that leaves asks a store that refuses at once no more than now and then
    Given a router in the list of routers
    When it leaves while the store is down for 3 s
    Then it has called the store at most 60 times, and is off the list when the store is back
