Feature: Targets that warm up after a start

  Scenario Outline: A target that has just started is not overrun
    Given <routers> routers and 6 targets
    When 1 target that bears 11 requests per second for 3 seconds starts again beside 100 requests per second
    Then no second brings a cold target more requests than 1.5 times its rate and 5 more
    And at least 0.98 of all requests are served

    Examples:
      | routers |
      | 4       |
      | 30      |

  Scenario Outline: Targets that return together are not overrun
    Given <routers> routers and 6 targets
    When 3 targets that bear 11 requests per second for 3 seconds start again beside 100 requests per second
    Then no second brings a cold target more requests than 1.5 times its rate and 5 more
    And at least 0.98 of all requests are served

    Examples:
      | routers |
      | 4       |
      | 30      |

  Scenario: Routers that restart don't overrun a cold target
    Given 30 routers and 6 targets
    When 1 target starts again while all routers are killed and restart
    Then no second brings a cold target more requests than 1.5 times its rate and 5 more

  Scenario: Cold targets are not overrun while the store is away
    Given 30 routers and 6 targets
    When 1 target starts again and the store goes away at once
    Then no second brings a cold target more requests than 1.5 times its rate and 5 more
    And at least 0.98 of all requests are served

  Scenario: A target that turns cold in operation is not overrun
    Given 30 routers and 6 targets
    When 1 target turns cold beside 60 requests per second and its entry tells so 1.2 seconds later
    Then no second brings a cold target more requests than 1.5 times its rate and 5 more
    And at least 0.98 of all requests are served

  Scenario Outline: The load of a target returns without a jump
    Given <routers> routers and 6 targets
    When 1 target that bears 11 requests per second for 3 seconds starts again beside 100 requests per second
    Then in no second of its return it gets over 1.5 times what any other target gets in one
    And 4 seconds after it is warm it gets half of an even share

    Examples:
      | routers |
      | 4       |
      | 30      |

  Scenario: Requests are refused at once where all targets are cold
    Given 4 routers and 6 targets
    When 6 targets that bear 4 requests per second for 6 seconds start again beside 100 requests per second
    Then no second brings a cold target more requests than 1.5 times its rate and 5 more
    And the cold targets get at least 0.6 of the requests that they bear
    And all others sent to them are refused within 0.1 seconds with a Retry-After time

  Scenario: The shares of a rate never exceed it
    When 150 generated rates of cold targets are divided among up to 200 routers
    Then the shares in any second add up to the rate at most, and to at least what is whole of it

  Scenario: Routers whose lists differ exceed a rate by the shares of those that lack
    When 150 generated rates are divided while some lists lack up to 20 of 100 routers
    Then in no second they send more than the rate and the shares of the routers that lack

  Scenario: An entry written before a router started says that its target is cold
    When a router lists entries of which one is cold for 2 seconds
    Then it takes that one for cold for 2 seconds and the others for warm
    And it takes a target that appears later for cold, whatever its entry says

  Scenario: Prompts avoid a preferred engine that warms up
    Given four engines of which the preferred one of a prompt warms up
    When two routers choose an engine for its prompt
    Then both choose the same engine, and not the warming one
