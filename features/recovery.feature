Feature: Recovery of a router's session
  What a router drew comes back when it is proved what ran under it, and only
  then. Each scenario ends with the check of every promise.

  Scenario: A router is killed with streams open
    Given a site of two routers with streams open at the first
    When the first router is killed
    And the callers with keys retry at the second router
    Then its session is recovered and the account holds no grant of it
    And every promise holds after the recovery

  Scenario: A router is paused past its lease, recovered, and resumed
    Given a site of two routers with streams open at the first
    When the first router is paused until its session is recovered
    And the callers with keys retry at the second router
    And the first router is resumed, cut off from the store, and asked
    And the cut ends while it is asked for more than it holds
    Then it takes a new session and serves again
    And nothing was drawn or spent under the old session
    And every promise holds after the recovery

  Scenario: A router and an agent are killed together
    Given a site of two routers with streams open at the first
    When the first router and one agent are killed together
    Then the rest stays stranded and is shown as a metric
    And a restarted agent does not free it
    And every promise holds but for the stranded rest
    And the operators can write it off, after which it counts as spent

  Scenario: An agent is restarted under a live router
    Given a site of two routers with streams open at the first
    When one agent is killed and restarted
    Then both routers serve again at all targets
    And every promise holds after the recovery

  Scenario: All leases lapse at once
    Given a site of two routers with streams open at the first
    When every lease of the store lapses
    Then no session is fenced and every stream is whole
    And every promise holds after the recovery

  Scenario: The recoverer is killed in the middle
    Given a site of two routers with streams open at the first
    When the first router is killed and its recoverer too after the fence
    Then its session is recovered and the account holds no grant of it
    And every promise holds after the recovery
