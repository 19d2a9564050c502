Feature: Leaving
  A target that is leaving gets no new work after a few seconds, and a graceful
  shutdown cuts off no request in flight.

  Scenario: A drained target gets no new work, also from a router cut off from the store
    Given a site under load
    And the store does not answer the first router
    When the operators drain engine-0
    Then within 3 seconds engine-0 gets no new work for good
    And no request has failed

  Scenario: A drain that is taken back brings the target's work back
    Given a site under load
    When the operators drain engine-0
    And the operators enable engine-0
    Then within 5 seconds engine-0 gets new work
    And no request has failed

  Scenario: Every router is replaced under load and no answer breaks
    Given a site under load
    When every router is stopped gracefully and replaced, one after the other
    Then no request has failed
    And every router that was stopped left no session and no grant

  Scenario: Every agent is replaced under load and no answer breaks
    Given a site under load
    When every engine's agent is stopped gracefully and replaced, one after the other
    Then no request has failed
