Feature: Large catalogue changes reach every router in time
  However slow a relay or a link is, each router has the new catalogue within the bound
  of 3 seconds if another path is available, and no router returns to an older one.

  Scenario: A relay that receives a large change slowly keeps the watches of its routers
    Given routers and relays that watch a catalogue of 4000 routes
    And their preferred relay receives 700000 bytes per second from the store
    When the catalogue changes
    Then each router has the newest catalogue within 3 seconds
    And the store received at most 12 watch calls

  Scenario: Routers of a relay that receives a change too slowly use the store in time
    Given routers and relays that watch a catalogue of 4000 routes
    And their preferred relay receives 50000 bytes per second from the store
    When the catalogue changes
    Then each router has the newest catalogue within 3 seconds

  Scenario: A router that receives a watch answer too slowly uses another path
    Given routers and relays that watch a catalogue of 4000 routes
    And one router receives 50000 bytes per second from the relay
    When the catalogue changes
    Then each router has the newest catalogue within 3 seconds

  Scenario: A new router that receives its listing too slowly uses another path
    Given routers and relays that watch a catalogue of 4000 routes
    And a new router receives 50000 bytes per second from the store
    When the new router starts
    Then each router has the newest catalogue within 3 seconds

  Scenario: A router that is cut off from the store lists through a relay on a slow link
    Given routers and relays that watch a catalogue of 4000 routes
    And all relays receive 500000 bytes per second from the store
    And a new router is cut off from the store
    When the new router starts
    Then each router has the newest catalogue within 4 seconds

  Scenario: Routers on narrow links list a catalogue through their relays
    Given routers and relays that watch a catalogue of 3000 routes
    And all routers receive 350000 bytes per second from the store and the relays
    When it grows to 4400 routes while their preferred relay is cut off from the store
    Then each router has the newest catalogue within 3 seconds

  Scenario: Routers don't list a catalogue that grows by a large amount
    Given routers and relays that watch a catalogue of 3000 routes
    When it grows to 4400 routes
    Then each router has the newest catalogue within 3 seconds
    And no router listed it at the store

  Scenario: A stale listing doesn't replace a newer state
    Given a store whose listings come from a lagging replica
    When a router lists the catalogue repeatedly
    Then it never applies an older revision than it had
    And it applies the newer revision
