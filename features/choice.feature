Feature: Routers choose available targets and retry only safe requests

  Scenario: Draining and disconnected targets are never ranked
    When generated targets are ranked after generated results
    Then only available targets are ranked, each of them once

  Scenario: A failing target is ejected, probed and restored
    Given a chooser with three equal targets
    When one target fails 3 times in a row
    Then it is not ranked for a second, and then for only one request at a time
    And it is ranked again after a success

  Scenario: A full failure domain spills over into another
    Given a chooser whose near targets are full and whose far targets are not
    Then a far target is ranked first
    And with all targets idle a near target is ranked first

  Scenario: A prefix keeps its preferred target while the load allows it
    Given a chooser with three equal targets
    Then each prefix has one preferred target while all are equally loaded
    And a full target is not ranked first for its prefixes while others have capacity

  Scenario: All routers agree on the preferred targets of a request
    When generated lists of targets are ranked in any order
    Then the preferred targets are equal, and removing a target keeps the rest

  Scenario: A request that may have run is retried only if it is idempotent
    When generated failures are passed to the retry budget
    Then only idempotent or not-run requests are retried, and before the deadline

  Scenario: Retries stay within their budget
    When generated numbers of requests fail over generated times
    Then the retries are at most the burst, the rate and the share of requests

  Scenario: No baseline chooser has a better p95 near capacity
    When six targets are loaded to 0.9 through four routers in virtual time
    Then the router's p95 first token is at most each baseline's, with and without prefixes
    And the router hits prefix caches at least 1.4 times as often as any baseline
