Feature: Targets that report a rate limit for all routers together

  Scenario: A limited target gets no more requests than its limit allows
    Given 4 routers and 6 targets
    When one target reports a limit of 2.4 per second for 12 seconds beside 50 requests per second
    Then no window of 4 seconds brings it more than 1.5 times its limit and 5 more
    And at least 0.97 of all requests are served

  Scenario: Many routers share a small limit
    Given 30 routers and 6 targets
    When one target reports a limit of 2.4 per second for 12 seconds beside 50 requests per second
    Then no window of 4 seconds brings it more than 1.5 times its limit and 5 more
    And at least 0.97 of all requests are served

  Scenario: A limit below one request per second holds
    Given 4 routers and 6 targets
    When one target reports a limit of 0.3 per second for 12 seconds beside 50 requests per second
    Then no window of 4 seconds brings it more than 1.5 times its limit and 5 more
    And at least 0.97 of all requests are served

  Scenario: Retries don't exceed the limit of a target that rejects requests
    Given 4 routers and 6 targets
    When one target rejects requests and reports a limit of 2.4 per second for 12 seconds
    Then no window of 4 seconds brings it more than 1.5 times its limit and 5 more
    And at least 0.97 of all requests are served

  Scenario: Requests are refused at once where all targets are limited
    Given 4 routers and 6 targets
    When all targets report a limit of 2.4 per second for 12 seconds beside 50 requests per second
    Then no window of 4 seconds brings it more than 1.5 times its limit and 5 more
    And the targets get at least 0.6 of the requests that their limits allow
    And all others are refused within 0.1 seconds with a Retry-After time

  Scenario Outline: A target is used again after its limit ends
    Given <routers> routers and 6 targets
    When one target reports a limit of 2.4 per second for 6 seconds beside 50 requests per second
    Then 2 seconds after the limit ends it gets half of an even share again

    Examples:
      | routers |
      | 4       |
      | 30      |

  Scenario: The shares of a limit add up to the limit
    When 150 generated limits are divided among up to 200 routers
    Then the shares add up to the limit, and no window exceeds its bound

  Scenario: Prompts avoid a preferred engine that is limited
    Given four engines of which the preferred one of a prompt is limited
    When two routers choose an engine for its prompt
    Then both choose the same engine, and not the limited one

  Scenario: A router applies the notices of other routers
    When another router sends notices of a target's limit, its change and its end
    Then this router applies each notice and forwards none

  Scenario: Invalid notices are refused
    When other routers send invalid limits
    Then each is refused, and no limit is known

  Scenario Outline: Another router lends a share with a delay of <delay> and an interval of <interval>
    When another router lends a share with a delay of <delay> and an interval of <interval>
    Then the number of requests that may be sent with it in its second is <sends>

    Examples:
      | delay | interval | sends |
      | 0     | 1e-320   | 0     |
      | 0     | 0.001    | 0     |
      | -1    | 0.5      | 0     |
      | 0     | -1       | 0     |
      | 1e308 | 0.5      | 0     |
      | 0     | 0.5      | 2     |

  Scenario: An answer to a request from before the limit doesn't end it
    When an answer without a limit arrives for a request from before the limit
    Then the limit holds until an answer to a later request reports none

  Scenario: A limit expires when the notice of its end is lost
    When no router sends a notice of the end of a limit
    Then this router tries the target again after one to two minutes
