Feature: Draining and graceful shutdown
  A draining target gets no new requests after a few seconds, and a graceful
  shutdown breaks no request in flight.

  Scenario: A drained target gets no new work, even from a router cut off from the store
    Given a site under load
    And the store does not answer the first router
    When the operators drain engine-0
    Then within 3 seconds engine-0 gets no new work for good
    And no request has failed

  Scenario: A target that is enabled again after a drain gets new work
    Given a site under load
    When the operators drain engine-0
    And the operators enable engine-0
    Then within 5 seconds engine-0 gets new work
    And no request has failed

  Scenario: A rolling replacement of all routers under load fails no request
    Given a site under load
    When every router is stopped gracefully and replaced, one after the other
    Then no request has failed
    And every router that was stopped left no session and no grant

  Scenario: A rolling replacement of all agents under load fails no request
    Given a site under load
    When every engine's agent is stopped gracefully and replaced, one after the other
    Then no request has failed
