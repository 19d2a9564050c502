Feature: Streams that callers resume after routers were restarted

  # Streams of the last router were refused: the restarted ones knew no version history.
  Scenario Outline: Streams of the last router go on after a roll over all routers
    Given <routers> routers, and 2 targets of each of the versions v1 and v1
    And the versions have been listed for 31 s
    And events that are 1.5 s apart
    When all routers get <signal> in turn, <gap> s apart, and 20 streams run at the last
    Then no caller holds events of two versions
    And all streams are whole

    Examples:
      | routers | signal  | gap |
      | 2       | SIGTERM | 12  |
      | 2       | SIGKILL | 2   |
      | 3       | SIGTERM | 12  |
      | 3       | SIGTERM | 2   |
      | 3       | SIGKILL | 12  |
      | 3       | SIGKILL | 2   |
      | 30      | SIGTERM | 2   |
      | 30      | SIGKILL | 2   |

  # A full listing forgot what was listed before it, also at routers that live on.
  Scenario: Streams of a killed router go on after the store has dropped its history
    Given 3 routers, and 2 targets of each of the versions v1 and v1
    And the versions have been listed for 31 s
    And events that are 1 s apart
    When the store drops its history under 20 streams at a router, which is killed later
    Then no caller holds events of two versions
    And all streams are whole

  # No router was left that knew which versions had been listed.
  Scenario Outline: Streams go on after all routers were killed at once
    Given 3 routers, and 2 targets of each of the versions v1 and v1
    And <site>
    And events that are 1 s apart
    When all routers are killed at once under 21 streams
    Then no caller holds events of two versions
    And all streams are whole

    Examples:
      | site                                  |
      | a site that starts for the first time |
      | the versions have been listed for 31 s |

  # All records of streams ended with the routers that had them.
  Scenario Outline: Streams of two versions go on after all routers were killed at once
    Given <routers> routers, and 2 targets of each of the versions v1 and v2
    And a site that starts for the first time
    And events that are 1 s apart
    When all routers are killed at once under <streams> streams
    Then no caller holds events of two versions
    And all streams are whole
    And each router has at most <records> records of streams

    Examples:
      | routers | streams | records |
      | 2       | 20      | 20      |
      | 3       | 21      | 21      |
      | 30      | 120     | 60      |

  # The page of records ended with its lease: in an outage, or while nothing changed.
  Scenario Outline: Streams of two versions go on after their page could have ended
    Given 3 routers, and 2 targets of each of the versions v1 and v2
    And a site that starts for the first time
    And streams that may last 150 s, with events that are <gap> s apart
    When all routers are killed at once under 21 streams, after <event>
    Then no caller holds events of two versions
    And all streams are whole

    Examples:
      | event             | gap |
      | the end of leases | 1.5 |
      | 70 quiet seconds  | 12  |

  # Its task failed with the first stream that ended during a call, and the router stopped.
  Scenario: Streams that end while their router writes its page don't end the router
    Given 3 routers, and 2 targets of each of the versions v1 and v2
    And a store that takes 80 ms for an answer
    When streams begin and end at all routers for 50 s
    Then all routers run on, and all streams are whole

  # Streams were refused while a new router hadn't read the page yet.
  Scenario: Callers need not come back twice to routers that have just started
    Given 3 routers, and 2 targets of each of the versions v1 and v1
    And a site that starts for the first time
    And events that are 1 s apart
    And a store that takes 80 ms for an answer
    When all routers are killed at once under 21 streams, and callers return when ready
    Then no caller holds events of two versions
    And each caller came back once

  # The only version that a new router lists may not be the one that began a stream.
  Scenario: Streams are refused if another version took over while all routers were down
    Given 3 routers, and 2 targets of each of the versions v1 and v1
    And a site that starts for the first time
    And events that are 1 s apart
    When all routers are killed at once under 21 streams, and v2 takes over meanwhile
    Then no caller holds events of two versions
    And each is refused with 503 within 0.5 s, without a Retry-After

  # Before the first page, nobody knows which versions served.
  Scenario: Streams are refused while the page is younger than they may be
    Given 3 routers, and 2 targets of each of the versions v1 and v1
    And callers that name no stream
    And events that are 1 s apart
    When all routers are killed at once under 21 streams
    Then no caller holds events of two versions
    And each is refused with 503 within 0.5 s, without a Retry-After

  # What is on the page after a release decides whether streams go on or are mixed.
  Scenario Outline: A version stays on the page while streams of it may be resumed
    Given 3 routers, and 2 targets of each of the versions v1 and v2
    And a site that starts for the first time
    When the targets of v2 <change>, and <seconds> s pass
    Then the page has <versions>

    Examples:
      | change                   | seconds | versions |
      | stay                     | 120     | v1 v2    |
      | leave                    | 80      | v1 v2    |
      | leave                    | 100     | v1       |
      | leave for 50 s           | 120     | v1 v2    |
      | leave for 100 s          | 115     | v1 v2    |

  # A version of which no later router knew could begin streams.
  Scenario: Streams begin at a new version only once it is on the page
    Given 3 routers, and 2 targets of each of the versions v1 and v1
    And a site that starts for the first time
    When targets of v2 start while the store answers no write for 5 s, and streams begin
    Then no stream began at v2 before it was on the page
    And streams began at v2 later

  # Each router wrote the page, also where nothing had changed.
  Scenario: The page is written only when versions appear or go
    Given 5 routers, and 2 targets of each of the versions v1 and v1
    And a site that starts for the first time
    When all routers restart in turn, and targets of v2 start
    Then the page was written at most 5 times

  # Records of a stream ended with the routers that had them, while it was in progress.
  Scenario Outline: Streams of two versions go on while routers restart one by one
    Given 3 routers, and 2 targets of each of the versions v1 and v2
    And events that are 1 s apart
    When routers get <signal> in turn, 3 s apart, under 21 streams
    Then no caller holds events of two versions
    And all streams are whole

    Examples:
      | signal  |
      | SIGTERM |
      | SIGKILL |

  # The page still has the version that left, so it doesn't tell which one began them.
  Scenario Outline: Streams of the last router go on after a release and a roll
    Given 3 routers, and 2 targets of each of the versions v1 and v1
    And a site that starts for the first time
    And all targets have restarted as v2, and 35 s have passed
    And events that are 1.5 s apart
    When all routers get <signal> in turn, 12 s apart, and 20 streams run at the last
    Then no caller holds events of two versions
    And all streams are whole

    Examples:
      | signal  |
      | SIGTERM |
      | SIGKILL |

  # The only version that is listed after a rollback didn't begin the streams.
  Scenario: Streams are refused if their version was rolled back while all were down
    Given 3 routers, and 2 targets of each of the versions v1 and v1
    And a site that starts for the first time
    And all targets have restarted as v2, and 6 s have passed
    And events that are 1 s apart
    When all routers are killed at once under 21 streams, and v1 takes over meanwhile
    Then no caller holds events of two versions
    And each is refused with 503 within 0.5 s, without a Retry-After

  # A router with an old list began streams at a version that the others had forgotten.
  Scenario: Streams of a router that was cut off are refused where their version is gone
    Given 3 routers, and 2 targets of each of the versions v1 and v1
    And a site that starts for the first time
    And events that are 1 s apart
    When a router is cut off for 45 s while v2 takes over, and all are killed at once
    Then no caller holds events of two versions
    And each is refused with 503 within 0.5 s, without a Retry-After

  # Callers of a route with a longer time limit come back later.
  Scenario Outline: The route with the longest time limit decides how long versions stay
    Given 3 routers, and 2 targets of each of the versions v1 and v2
    And a site that starts for the first time
    And a second route to the service with a time limit of 60 s
    When the targets of v2 leave, and <seconds> s pass
    Then the page has <versions>

    Examples:
      | seconds | versions |
      | 170     | v1 v2    |
      | 190     | v1       |

  # Each way to lose or to keep what is known of versions may hide behind another one.
  Scenario: Generated releases, restarts and faults mix no versions
    When 12 histories are generated, from seed 1 on
    Then no caller of any history holds events of two versions
    And at least half of the streams that callers resumed went on
