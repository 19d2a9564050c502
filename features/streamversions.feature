Feature: Streams go on only at the software version that began them

  # The events of two versions were joined in one answer.
  Scenario: A stream whose target breaks off goes on at its version
    Given 4 routers, and 2 targets of each of the versions v1 and v2
    When targets break off 40 streams after 2 events
    Then no caller holds events of two versions
    And at least half of the streams are whole

  # Another router chose among the targets of all versions.
  Scenario: A stream that its caller resumes at another router goes on at its version
    Given 4 routers, and 2 targets of each of the versions v1 and v2
    When callers drop 40 streams after 2 events and resume them at other routers
    Then no caller holds events of two versions
    And at least half of the streams are whole

  # What a router knew about its streams ended with it.
  Scenario: A stream whose router is killed goes on at its version
    Given 4 routers, and 2 targets of each of the versions v1 and v2
    When routers are killed under 40 streams after 2 events
    Then no caller holds events of two versions
    And at least half of the streams are whole

  # A router with an old list continued streams of a version that it didn't know.
  Scenario: A router that is cut off from the store doesn't continue a newer version
    Given 4 routers, and 2 targets of each of the versions v1 and v1
    When a router is cut off from the store, the targets restart as v2, and streams are resumed there
    Then no caller holds events of two versions

  # The copy of a run was made and used at an engine of any version.
  Scenario Outline: A stream goes on only at a copy with its version
    Given 4 routers, and 2 targets of each of the versions v1 and v2
    And engines that copy runs, of the versions <versions>
    When targets crash under 20 streams after 3 events
    Then no caller holds events of two versions
    And <share> of the streams went on at a copy

    Examples:
      | versions    | share        |
      | v1 v2 v1 v2 | at least one |
      | v1 v2 v3 v4 | none         |

  # A list that is older than the target passed events of its next start on.
  Scenario: A target that restarted under its id with another version is not believed
    Given 4 routers, and 2 targets of each of the versions v1 and v2
    When the targets restart under their ids as v3 within a stream
    Then the caller gets no event after the restart was known

  # A wait for targets that may never come back is no honest time to return.
  Scenario: A stream whose version serves no longer ends at once
    Given 4 routers, and 2 targets of each of the versions v1 and v2
    When all targets of the version of a stream end within it
    Then the stream breaks off within 0.5 s

  # A stream whose version wasn't known went on at any version.
  Scenario Outline: A stream that can't be matched to a version is refused at once
    Given 4 routers, and 2 targets of each of the versions v1 and v2
    When streams are resumed at another router with <header>
    Then each is refused with 503 within 0.1 s, without a Retry-After, and no target gets it

    Examples:
      | header                      |
      | no Resumes                  |
      | an empty Resumes            |
      | a Resumes that nobody knows |
      | a Resumes of 3,000 bytes    |

  # A router that can't ask others waited for them, or took its guess for certain.
  Scenario: A router that reaches no other one refuses streams of others
    Given 4 routers, and 2 targets of each of the versions v1 and v2
    And a router that is cut off from the other routers
    When streams are resumed at another router with its first request
    Then each is refused with 503 within 0.5 s, with a Retry-After, and no target gets it

  # Where versions can't differ, callers that name no stream lost it.
  Scenario: A stream without a name goes on where one version has served for long
    Given 4 routers, and 2 targets of each of the versions v1 and v1
    And the versions have been listed for 31 s
    When streams are resumed at another router with no Resumes
    Then all streams are whole

  # Callers that name no stream lost it until a list had been known for a window.
  Scenario: A stream without a name goes on where no other version ever served
    Given 4 routers, and 2 targets of each of the versions v1 and v1
    And a site that starts for the first time
    When streams are resumed at another router with no Resumes
    Then all streams are whole

  # Another version may have left while a stream of it was on its way back.
  Scenario: A stream without a name is refused where the list is too young
    Given 4 routers, and 2 targets of each of the versions v1 and v1
    When streams are resumed at another router with no Resumes
    Then each is refused with 503 within 0.1 s, without a Retry-After, and no target gets it

  # The router that began a stream asked others, or refused it when they were away.
  Scenario: A router resumes its own streams without asking others
    Given 4 routers, and 2 targets of each of the versions v1 and v2
    And a router that is cut off from the other routers
    When streams are resumed at the same router with its first request
    Then all streams are whole

  # An old list lacks the version that began the stream.
  Scenario: A stream without a name is refused where the list may be old
    Given 4 routers, and 2 targets of each of the versions v1 and v1
    And the versions have been listed for 31 s
    When a router is cut off from the store, the targets restart as v2, and streams without a name are resumed there
    Then no caller holds events of two versions
    And each is refused with 503 within 0.1 s, without a Retry-After

  # While the store is away, no list shows the targets that have started.
  Scenario: A stream without a name is refused while no list is current
    Given 4 routers, and 2 targets of each of the versions v1 and v1
    And the versions have been listed for 31 s
    And the store has been down for 6 s
    When streams are resumed at another router with no Resumes
    Then each is refused with 503 within 0.1 s, without a Retry-After, and no target gets it

  # Waiting for the word of others would refuse all streams of a site with one router.
  Scenario: A single router needs no others to know that one version served
    Given 1 routers, and 2 targets of each of the versions v1 and v1
    And the versions have been listed for 31 s
    When streams are resumed at the same router with no Resumes
    Then all streams are whole

  # A router with an old list took it for complete, though it reached no other router.
  Scenario: A stream without a name is refused by a router that reaches no other one
    Given 4 routers, and 2 targets of each of the versions v1 and v1
    And the versions have been listed for 31 s
    And a router that is cut off from the other routers
    When streams are resumed at another router with no Resumes
    Then each is refused with 503 within 0.5 s, without a Retry-After, and no target gets it

  # A router that had just started refused streams, since its own list was too young.
  Scenario Outline: A router that has just started learns from others that one version served
    Given 4 routers, and 2 targets of each of the versions v1 and v1
    And the versions have been listed for 31 s
    And a router that has restarted 6 s ago
    When streams are resumed at another router with <header>
    Then all streams are whole

    Examples:
      | header            |
      | its first request |
      | no Resumes        |

  # Datagrams for each stream took the bandwidth that control may have, for nothing.
  Scenario Outline: Other routers are told of streams only while versions differ
    Given 4 routers, and 2 targets of each of the versions v1 and <version>
    And the versions have been listed for 31 s
    When 20 streams begin
    Then <records>

    Examples:
      | version | records                                      |
      | v1      | only the router that began them has records  |
      | v2      | each stream has a record at two other routers |

  # Streams that began before a second version appeared were lost with their router.
  Scenario: Other routers are told of streams in progress once another version appears
    Given 4 routers, and 2 targets of each of the versions v1 and v1
    And the versions have been listed for 31 s
    When targets of v2 appear under streams, and their router is killed later
    Then others were told only of the streams that had not ended
    And no caller holds events of two versions
    And all streams are whole

  # They were told with the next stream only, which may begin after their router's end.
  Scenario: Other routers are told of streams in progress without a new stream
    Given 4 routers, and 2 targets of each of the versions v1 and v1
    And the versions have been listed for 31 s
    When targets of v2 appear under the last streams, and their router is killed later
    Then no caller holds events of two versions
    And all streams are whole

  # The second stream with an id was continued at the version of the first.
  Scenario: Streams with the same id are refused if they began at two versions
    Given 4 routers, and 2 targets of each of the versions v1 and v2
    And callers that use one id for all streams
    When streams are resumed at another router with its first request
    Then each is refused with 503 within 0.1 s, without a Retry-After, and no target gets it

  # Each request draws one of the services of its route anew.
  Scenario: A stream goes on at the service of its route that began it
    Given 4 routers, and 2 targets of each of the versions v1 and v2
    And the targets of v2 belong to a second service of the route
    When streams are resumed at another router with its first request
    Then no caller holds events of two versions
    And all streams are whole

  # A stream must not go on where the route doesn't lead any more.
  Scenario: A stream is refused if its route has left the service that began it
    Given 4 routers, and 2 targets of each of the versions v1 and v2
    And the targets of v2 belong to a second service of the route
    And the route is moved away from the first service while streams are away
    When streams are resumed at another router with its first request
    Then no caller holds events of two versions
    And only streams of the second service are whole
