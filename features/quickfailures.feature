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

  Scenario Outline: A target that breaks off or loses some answers gets fewer requests
    Given 4 routers and 6 targets
    And the routers use the feature pace, and requests have 1.6 seconds
    When one target <fails> for 20 seconds
    Then it gets at most <share> of an even share of the requests meanwhile

    Examples:
      | fails                          | share |
      | breaks off every second stream | 0.5   |
      | loses every answer             | 0.5   |

  Scenario: An answer to a request from before a failure doesn't end the backoff
    Given a target that has failed while another request ran there
    When the other request succeeds
    Then the target is still avoided
    And a request that is sent after the backoff ends the count of failures
