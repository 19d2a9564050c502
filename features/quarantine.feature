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

  Scenario: Routers that are replaced in turn don't know of the ends before their start
    Given 4 routers and 6 targets
    When it comes 2 times a second for 30 seconds and a router is killed every 1.2 s
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

  Scenario: Broken connections are taken for ends of targets
    Given 4 routers and 6 targets
    When the same requests are broken off again and again by resets
    Then each router serves the harmless requests again afterwards

  Scenario: Planned stops are taken for ends under the requests that they break off
    Given 4 routers and 6 targets
    When all targets leave while each runs the same long request
    Then each router serves the harmless requests again afterwards

  Scenario: Many different fatal requests take no more than their room
    Given a quarantine
    When 3 targets each end under 6000 different requests
    Then it watches at most 4096 and keeps at most 512 of them

  Scenario: An answer clears a request under which targets ended
    Given a quarantine
    When 2 targets end under a request, it gets an answer, and 2 more end
    Then the request may be sent

  Scenario: Routers that quarantine requests at once keep each other's in the store
    Given 5 routers' copies of the quarantine over one store
    When each quarantines a request of its own at the same time
    Then the store's page and all copies hold all 5

  Scenario: A quarantine that its finder can't save is saved by another router
    Given 5 routers' copies of the quarantine over one store
    When one that can't reach the store quarantines a request and tells the others
    Then the store's page holds it within 10 seconds

  Scenario: An operator removes the page, and the requests may be sent again
    Given 5 routers' copies of the quarantine over one store
    When each quarantines a request of its own, and the page is removed later
    Then no copy holds any, and the store has no page

  Scenario: A page that can't be read is replaced
    Given 5 routers' copies of the quarantine over one store
    When the page can't be read and each quarantines a request of its own
    Then the store's page and all copies hold all 5
