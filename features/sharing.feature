Feature: Routers of a failure domain share one watch of the store
  A relay of the domain asks the store for changes once for all routers. Whatever
  happens to it, each change is in force at every router within the bound of 2 seconds.

  Scenario: The store is asked once for a domain, and not once for each router
    Given 12 routers of a domain with 2 relays
    When 40 changes come within 4 seconds
    Then each router knows each of them within 2 seconds
    And the store was asked for changes at most 100 times

  Scenario: Without changes the store is asked a few times a second
    Given 12 routers of a domain with 2 relays
    When nothing changes for 20 seconds
    Then the store was asked for changes at most 50 times

  Scenario: Hosts without a relay don't send the routers of a domain to the store
    Given 12 routers of a domain with 2 relays
    When 6 hosts without a relay are listed and nothing changes for 20 seconds
    Then the store was asked for changes at most 50 times

  Scenario: Routers share their watch while the store is slow
    Given 12 routers of a domain with 2 relays
    When the store takes 0.24 seconds for an answer and nothing changes for 20 seconds
    Then the store was asked for changes at most 50 times

  Scenario Outline: The relay that routers ask fails while changes come
    Given 12 routers of a domain with 2 relays
    When the relay that they ask <fails> while 40 changes come within 8 seconds
    Then each router knows each of them within 2 seconds

    Examples:
      | fails                               |
      | dies                                |
      | falls silent                        |
      | is cut off from the store           |
      | is cut off from half of the routers |
      | dies with all relays of its domain  |
      | falls silent with all of its domain |

  Scenario: Relays that come back are asked again
    Given 12 routers of a domain with 2 relays
    When the relay that they ask is cut off from the store for 3 seconds
    And 40 changes come within 20 seconds
    Then each router knows each of them within 2 seconds
    And in the last 5 seconds the store was asked for changes at most 40 times

  Scenario: A router that is cut off from the store hears of changes from the relay
    Given 12 routers of a domain with 2 relays
    When one router is cut off from the store while 40 changes come within 8 seconds
    Then each router knows each of them within 2 seconds

  Scenario: A router that starts while the store is away knows all once it is back
    Given 12 routers of a domain with 2 relays
    When the store is away for 5 seconds and a router starts meanwhile
    Then each router knows the newest change 2 seconds after the store's return

  Scenario: An answer without changes tells that the store was reached
    Given a relay that watches a prefix
    When the store falls silent while a router asks
    Then the router gets no answer without changes, but a failure within 1 second

  Scenario: A router that lags behind what the relay keeps is passed on to the store
    Given a relay that watches a prefix
    When a router asks for changes from before the relay's watch
    Then the relay has no watch for it

  Scenario: A router that knows more than the relay misses nothing
    Given a relay that watches a prefix
    When a router asks from a revision that the relay hasn't heard of
    Then it gets the next change, and no change twice

  Scenario: A router may wait longer than the relay does
    Given a relay that watches a prefix
    When a router waits 3 seconds for changes, and none comes
    Then it gets an answer without changes after 3 seconds

  Scenario: Whoever asks for many prefixes doesn't make a relay watch them all
    Given a relay that watches a prefix
    When 100 other prefixes are asked for
    Then the relay watches at most 8 of them, and passes the rest on

  Scenario: With few routers in a domain each asks for itself
    Then 5 routers in 4 domains ask for themselves, and 30 in 3 share
    And routers share while it isn't known how many there are
