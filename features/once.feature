Feature: Once, whole and one's own
  A request runs once and is billed once, however its caller retries, and the
  caller gets the whole answer or a typed error. Each scenario ends with the
  check of every promise.

  Scenario: A caller retries elsewhere after its router was killed
    Given a site of two routers
    When a caller's router is killed in its stream and it retries elsewhere
    Then the answer is whole and was generated once
    And every promise holds once

  Scenario: One key is asked for many times at once
    Given a site of two routers
    When 12 callers ask with one key at both routers at once
    Then every one has the whole answer and it was generated once
    And every promise holds once

  Scenario: One key is asked for with another body
    Given a site of two routers
    When a key is used again with another body at either router
    Then the second request is refused with identity_reused
    And every promise holds once

  Scenario: A link goes silent or is cut in a stream
    Given a site of two routers with relays before the agents
    When the links are cut and later go silent while streams are open
    Then every stream is whole and was generated once
    And every promise holds once

  Scenario: The home of a key changes between two tries
    Given a site of two routers with relays before the agents
    When a keyed request is answered while its first home is cut off, and asked again
    Then every one has the whole answer
    And the key was billed once
    And every promise holds once

  Scenario: An agent that answered a key is restarted before the retry
    Given a site of two routers
    When a keyed request is answered, all agents restart, and it is asked again
    Then the key was billed once
    And every promise holds once

  Scenario: A request is in flight when the only agents die
    Given a site of two routers
    When all engines' agents are killed with a whole answer in flight
    Then no caller is told that it did not run
    And every promise holds once

  Scenario: The engine breaks off in a stream
    Given a site of two routers
    When the engines break off in the middle of streams
    Then no truncated answer looks whole
    And every promise holds once

  Scenario: The target of a non-idempotent call breaks off
    Given a site of two routers
    When the service breaks off non-idempotent calls, keyed and not
    Then every outcome is typed and no call ran twice
    And every promise holds once

  Scenario: The agent of a non-idempotent call is killed
    Given a site of two routers
    When the service's agent is killed and restarted with non-idempotent calls running
    Then every outcome is typed and no call ran twice
    And every promise holds once

  Scenario: The router of a non-idempotent call is killed
    Given a site of two routers
    When the router of keyed non-idempotent calls is killed and they are retried
    Then every outcome is typed and no call ran twice
    And every promise holds once
