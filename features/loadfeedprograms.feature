Feature: The load feed over real sockets and in the programs

  Scenario: The load of an engine reaches a router over UDP
    Given an engine, the relay on its host and a router with the load feed
    And another socket at the router's port
    When the port is free, and garbage and oversized datagrams arrive
    Then the router knows the engine's load within 3 seconds
    And a change of it within half a second
    And the router logs the loss of the feed if the engine stops answering
    And the relay stops polling when the router has ended

  Scenario: The programs use the load feed only where it is switched on
    Given an engine, and a relay and a router with and without the load feed
    Then only the relay with the feed sends the engine's load to a subscriber
    And only the router with the feed has a metric of it
