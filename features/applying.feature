Feature: A large change of the catalogue is in force at every router in time
  What a relay or a link needs for it, the bound of 3 seconds holds where another way
  is there, and no router goes back.

  Scenario: A relay that takes a large change slowly doesn't end the watch of its routers
    Given routers and relays that follow a catalogue of 4000 routes
    And the relay that they ask takes 700000 bytes a second from the store
    When the catalogue changes
    Then each router has the newest catalogue within 3 seconds
    And the store was asked for changes at most 12 times

  Scenario: A relay to which a change trickles leaves its routers to the store in time
    Given routers and relays that follow a catalogue of 4000 routes
    And the relay that they ask takes 50000 bytes a second from the store
    When the catalogue changes
    Then each router has the newest catalogue within 3 seconds

  Scenario: An answer that trickles doesn't keep a router on a replaced catalogue
    Given routers and relays that follow a catalogue of 4000 routes
    And one router gets 50000 bytes a second from the relay
    When the catalogue changes
    Then each router has the newest catalogue within 3 seconds

  Scenario: A listing that trickles doesn't keep a new router without a catalogue
    Given routers and relays that follow a catalogue of 4000 routes
    And a new router gets 50000 bytes a second from the store
    When the new router starts
    Then each router has the newest catalogue within 3 seconds

  Scenario: A router that is cut off from the store lists through a relay on a slow link
    Given routers and relays that follow a catalogue of 4000 routes
    And all relays take 500000 bytes a second from the store
    And a new router is cut off from the store
    When the new router starts
    Then each router has the newest catalogue within 4 seconds

  Scenario: Routers on narrow links list a catalogue through their relays
    Given routers and relays that follow a catalogue of 3000 routes
    And all routers get 350000 bytes a second from the store and the relays
    When it grows to 4400 routes as the relay that they ask loses the store
    Then each router has the newest catalogue within 3 seconds

  Scenario: A catalogue that grows by much isn't listed by each router
    Given routers and relays that follow a catalogue of 3000 routes
    When it grows to 4400 routes
    Then each router has the newest catalogue within 3 seconds
    And no router has listed it at the store

  Scenario: A listing that lies behind doesn't take a router back
    Given a store whose listings come from a replica that falls behind
    When a router lists the catalogue again and again
    Then it never takes an older revision than it had
    And it takes the newer one
