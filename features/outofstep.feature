Feature: A router that is out of step while targets of a new version join

  # Reported of other systems: it continued streams of the new version with the old one.
  Scenario Outline: Streams of a version that a router hasn't seen don't change it there
    Given 3 routers, and 2 targets of each of the versions v1 and v1
    And <site>
    And events that are <gap> s apart
    When the last router is cut off from <others> for <seconds> s while half of the targets restart as v2, and callers move 60 streams of the others to it
    Then no caller holds events of two versions
    And streams of both versions were moved, and some are whole

    Examples:
      | site                                   | others              | seconds | gap |
      | the versions have been listed for 31 s | the store           | 3       | 0.2 |
      | the versions have been listed for 31 s | the others          | 3       | 0.2 |
      | the versions have been listed for 31 s | both                | 3       | 0.2 |
      | the versions have been listed for 31 s | both                | 8       | 0.2 |
      | the versions have been listed for 31 s | both                | 3       | 1   |
      | a site that starts for the first time  | the store           | 3       | 0.2 |
      | a site that starts for the first time  | both                | 3       | 0.2 |
      | a site that starts for the first time  | both                | 8       | 1   |

  Scenario: Streams of a version that a router hasn't seen wait for it while it stands still
    When a router stands still for 3 s while half of the engines start again as v2, and callers move 40 streams of the others to it
    Then no stream ran at two versions
    And streams of both versions went on there
