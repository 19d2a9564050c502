Feature: Failure domains that operators evacuate

  Scenario Outline: The targets of an evacuated domain get no new requests
    Given <routers> routers and 6 targets
    When one domain is evacuated for 6 seconds
    Then no request reaches its targets from 0.5 seconds after the order to its end
    And at least 0.99 of all requests are served

    Examples:
      | routers |
      | 4       |
      | 30      |

  Scenario: Streams that break off are not resumed in an evacuated domain
    Given 4 routers and 6 targets
    When one domain is evacuated for 6 seconds while the other targets break off streams
    Then no request reaches its targets from 0.5 seconds after the order to its end

  Scenario: Routers that start in an evacuation know of it
    Given 4 routers and 6 targets
    When one domain is evacuated for 8 seconds while all routers are killed and restart
    Then no request reaches its targets from 0.5 seconds after the order to its end

  Scenario: An order that a router missed while it was cut off applies when it is back
    Given 4 routers and 6 targets
    When one domain is evacuated for 8 seconds and one router is cut off from the store for 4 of them
    Then no request reaches its targets from 5.5 seconds after the order to its end
    And no request of the other routers reaches them from 0.5 seconds after it

  Scenario Outline: Targets that are cold after an evacuation are not overrun
    Given <routers> routers and 6 targets
    When one domain is evacuated for 6 seconds and its targets are cold at the end
    Then no second brings a cold target more requests than 1.5 times its rate and 5 more
    And at least 0.99 of all requests are served

    Examples:
      | routers |
      | 4       |
      | 30      |

  Scenario: Requests are refused at once where all domains are evacuated
    Given 4 routers and 6 targets
    When all domains are evacuated for 6 seconds
    Then no request reaches its targets from 0.5 seconds after the order to its end
    And requests are refused within 0.1 seconds with a Retry-After time

  Scenario: Only keys of domains are orders
    When a listing and changes bring orders, their ends and other keys
    Then the evacuated domains follow the orders, and an end is told by its time
