Feature: Routers choose usable targets and retry only what is safe

  Scenario: Draining and disconnected targets are never ranked
    When any targets are ranked after any results
    Then the ranked ones are available and each stands there once

  Scenario: A failing target is set aside and probed back
    Given a chooser of three equal targets
    When one target fails 3 times in a row
    Then it is not ranked for a second, and then for one request at a time
    And a success brings it back

  Scenario: A full failure domain spills into another
    Given a chooser whose near targets are full and whose far ones are not
    Then a far target comes first
    And with all of them idle a near target comes first

  Scenario: A prefix keeps its target while load allows
    Given a chooser of three equal targets
    Then each prefix has one target while the others are as loaded
    And a full target gives its prefixes up while another one has room

  Scenario: All routers agree on the homes of a request
    When any targets are known in any order
    Then the homes are the same, and a target that goes moves no other home

  Scenario: Nothing that may have run is sent again unless it is idempotent
    When any failure of any request is decided on
    Then a retry is idempotent or provably not run, and before the deadline

  Scenario: Retries stay within their budget
    When any number of requests fail over any time
    Then the retries are at most the burst, the rate and the share of requests

  Scenario: No plain way to choose has a better p95 near capacity
    When six targets are loaded to 0.9 through four routers in virtual time
    Then our p95 first token is no worse than any plain way's, with and without prefixes
    And we hit the prefix caches at least 1.4 times as often as any
