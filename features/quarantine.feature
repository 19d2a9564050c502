Feature: A request under which targets end is not sent for ever

  Scenario: A request that ends each target that runs it is sent on without end
    Given 4 routers and 6 targets
    When a request that ends its target comes 4 times a second for 25 seconds
    Then at most 3 targets get it later than 3 seconds after the third has ended
    And at least 0.8 of the other requests are served

  Scenario: Routers that start again send a request under which three targets ended
    Given 4 routers and 6 targets
    When it comes 4 times a second for 30 seconds and all routers are killed after 15
    Then at most 3 targets get it later than 3 seconds after the third has ended

  Scenario: Routers that can't reach the store learn of a fatal request one by one
    Given 4 routers and 6 targets
    When it comes 4 times a second for 25 seconds while the store is down
    Then at most 3 targets get it later than 3 seconds after the third has ended

  Scenario: A router that was cut off sends a request that the others know to be fatal
    Given 4 routers and 6 targets
    When it comes 4 times a second for 30 seconds and one router is cut off for 8
    Then the router that was cut off sends it at most 3 times from 3 seconds after the cut

  Scenario: Requests that run on targets that crash for other causes are still served
    Given 4 routers and 6 targets
    When the same harmless requests come 10 times a second while targets crash each second
    Then each router serves the harmless requests again afterwards

  Scenario: Planned stops and broken connections are not ends under a request
    Given 4 routers and 6 targets
    When the same requests are broken off by planned stops and by resets
    Then each router serves the harmless requests again afterwards
