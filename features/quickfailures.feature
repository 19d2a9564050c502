Feature: Targets that fail at once don't attract requests
  A target that doesn't run its requests has no load, so it must not be preferred.

  Scenario Outline: A target that fails at once gets no more than an even share
    Given <routers> routers and 6 targets
    When one target <fails> for 6 seconds
    Then it gets at most an even share of the requests meanwhile
    And at least <served> of all requests are served

    Examples:
      | routers | fails                                     | served |
      | 4       | rejects every request with status 503            | 0.98   |
      | 4       | rejects every second request with status 503     | 0.98   |
      | 4       | rejects every request with status 429            | 0.98   |
      | 4       | answers every request with status 500            | 0.9    |
      | 4       | answers every second request with status 500     | 0.9    |
      | 4       | refuses connections                       | 0.98   |

  Scenario: A target that failed is used again soon afterwards
    Given 4 routers and 6 targets
    When one target rejects every request with status 503 for 6 seconds
    Then 3 seconds later it gets half of an even share again

  Scenario: Requests are sent though all targets reject some
    Given 4 routers and 6 targets
    When all targets reject every fourth request with status 503 for 6 seconds
    Then at least 0.95 of all requests are served
