Feature: Quarantine of requests that crash targets

  A fatal request crashes each target that runs it.

  Scenario: A request that crashes each target is quarantined
    Given 4 routers and 6 targets
    When a fatal request comes 4 times per second for 25 seconds
    Then at most 3 targets get it later than 3 seconds after the third crash
    And at least 0.8 of the other requests are served

  Scenario: Routers that restart at once keep the quarantine
    Given 4 routers and 6 targets
    When a fatal request comes 4 times per second for 30 seconds and all routers are killed after 15
    Then at most 3 targets get it later than 3 seconds after the third crash

  Scenario: Routers that restart in turn keep the quarantine
    Given 4 routers and 6 targets
    When a fatal request comes 2 times per second for 30 seconds and a router is killed every 1.2 seconds
    Then at most 3 targets get it later than 3 seconds after the third crash

  Scenario: Routers without the store notify each other of a fatal request
    Given 4 routers and 6 targets
    When a fatal request comes 4 times per second for 25 seconds while the store is down
    Then at most 3 targets get it later than 3 seconds after the third crash

  Scenario: A router learns of a quarantine after it was cut off
    Given 4 routers and 6 targets
    When a fatal request comes 4 times per second for 30 seconds and one router is cut off for 8
    Then the router that was cut off sends it at most 3 times from 3 seconds after the cut

  Scenario: Requests are served that run on targets that crash for other reasons
    Given 4 routers and 6 targets
    When the same harmless requests come 10 times per second while targets crash every second
    Then each router serves the harmless requests again afterwards

  Scenario: Broken connections don't count as crashes
    Given 4 routers and 6 targets
    When the connections of the same requests are reset repeatedly
    Then each router serves the harmless requests again afterwards

  Scenario: Planned stops don't count as crashes
    Given 4 routers and 6 targets
    When all targets drain and stop while each runs the same long request
    Then each router serves the harmless requests again afterwards

  Scenario: The numbers of suspected and quarantined requests are bounded
    Given an empty quarantine
    When 3 targets each crash under 6000 different requests
    Then at most 4096 requests are suspected and at most 512 are quarantined

  Scenario: An answer clears a suspected request
    Given an empty quarantine
    When 2 targets crash under a request, it gets an answer, and 2 more crash
    Then the request may be sent

  Scenario: Routers that quarantine requests concurrently keep all of them in the store
    Given 5 routers' copies of the quarantine over one store
    When each quarantines a request of its own at the same time
    Then the store's page and all copies contain all 5

  Scenario: A quarantine that its router can't save is saved by another router
    Given 5 routers' copies of the quarantine over one store
    When one that can't reach the store quarantines a request and notifies the others
    Then the store's page contains it within 10 seconds

  Scenario: Removing the page lifts the quarantine
    Given 5 routers' copies of the quarantine over one store
    When each quarantines a request of its own, and the page is removed later
    Then no copy contains any, and the store has no page

  Scenario: An invalid page is replaced
    Given 5 routers' copies of the quarantine over one store
    When the page is invalid and each quarantines a request of its own
    Then the store's page and all copies contain all 5
