Feature: Routers of a failure domain share a watch of the store
  A relay of the domain watches the store once for all routers. Whatever happens to the
  relay, each change reaches every router within the bound of 2 seconds.

  Scenario: The store is watched once per domain, not once per router
    Given 12 routers of a failure domain with 2 relays
    When 40 changes are written within 4 seconds
    Then each router receives each of them within 2 seconds
    And the store received at most 100 watch calls

  Scenario: Without changes the store gets few watch calls
    Given 12 routers of a failure domain with 2 relays
    When nothing changes for 20 seconds
    Then the store received at most 50 watch calls

  Scenario: Hosts without a relay don't make routers watch the store directly
    Given 12 routers of a failure domain with 2 relays
    When 6 hosts without a relay are listed and nothing changes for 20 seconds
    Then the store received at most 50 watch calls

  Scenario: Routers share their watch while the store is slow
    Given 12 routers of a failure domain with 2 relays
    When the store answers after 0.24 seconds and nothing changes for 20 seconds
    Then the store received at most 50 watch calls

  Scenario Outline: The preferred relay fails while changes are written
    Given 12 routers of a failure domain with 2 relays
    When their preferred relay <fault> while 40 changes are written within 8 seconds
    Then each router receives each of them within 2 seconds

    Examples:
      | fault                                          |
      | crashes                                        |
      | stops responding                               |
      | is cut off from the store                      |
      | is cut off from half of the routers            |
      | crashes with all relays of its domain          |
      | stops responding with all relays of its domain |

  Scenario: Routers return to a relay that has recovered
    Given 12 routers of a failure domain with 2 relays
    When their preferred relay is cut off from the store for 3 seconds
    And 40 changes are written within 20 seconds
    Then each router receives each of them within 2 seconds
    And in the last 5 seconds the store received at most 40 watch calls

  Scenario: A router that is cut off from the store receives changes from the relay
    Given 12 routers of a failure domain with 2 relays
    When one router is cut off from the store while 40 changes are written within 8 seconds
    Then each router receives each of them within 2 seconds

  Scenario: A router that starts during a store outage has the full state afterwards
    Given 12 routers of a failure domain with 2 relays
    When the store is down for 5 seconds and a router starts meanwhile
    Then each router receives the newest change within 2 seconds of its write

  Scenario: An empty watch result proves that the store was reached
    Given a relay that watches a prefix
    When the store stops responding while a router waits for changes
    Then the router gets an error within 1 second instead of an empty result

  Scenario: A router that lags behind the changes that the relay keeps uses the store
    Given a relay that watches a prefix
    When a router requests changes from before the start of the relay's watch
    Then the relay has no watch that covers them

  Scenario: A router with a newer revision than the relay misses no change
    Given a relay that watches a prefix
    When a router watches from a revision that the relay hasn't received yet
    Then it gets the next change and no duplicate

  Scenario: A router may wait longer than the relay's own watches
    Given a relay that watches a prefix
    When a router waits 3 seconds for changes and none is written
    Then it gets an empty result after 3 seconds

  Scenario: A relay limits the number of prefixes that it watches
    Given a relay that watches a prefix
    When a caller watches 100 other prefixes
    Then the relay watches at most 8 of them and forwards the other calls

  Scenario: With few routers in a domain each watches the store directly
    Then 5 routers in 4 domains watch the store directly, and 30 in 3 share their watches
    And routers share their watches while the number of routers is unknown

  Scenario Outline: A watch of <odd> isn't answered out of the shared one
    When a relay gets a call for a watch of <odd>
    Then it leaves the call to the store

    Examples:
      | odd                        |
      | a revision of 400 digits   |
      | a revision of -1           |
      | a wait of 400 digits       |
      | a wait of 30001 ms         |
      | a wait of -1 ms            |
