Feature: Streams go on only at the software version that began them

  # The events of two versions were joined in one answer.
  Scenario: A stream whose target breaks off goes on at its version
    Given 4 routers, and 2 targets of each of the versions v1 and v2
    When targets break off 40 streams after 2 events
    Then no caller holds events of two versions
    And at least half of the streams are whole

  # Another router chose among the targets of all versions.
  Scenario: A stream that its caller takes up at another router goes on at its version
    Given 4 routers, and 2 targets of each of the versions v1 and v2
    When callers drop 40 streams after 2 events and take them up at other routers
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
    When a router is cut off from the store, the targets restart as v2, and streams are taken up there
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
