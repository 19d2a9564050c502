Feature: The load feed over real sockets and in the programs

  Scenario: The load of an engine reaches a router over UDP
    Given an engine, the relay on its host and a router with the load feed
    When garbage and an oversized datagram are sent to both sockets
    Then the router knows the engine's load within 2 seconds
    And a change of it within half a second
    When the engine stops answering
    Then the router logs the loss of the feed, and the relay that of reports
    When the router ends
    Then the relay stops polling the engine

  Scenario: A port that is in use delays the load feed and nothing else
    Given another socket at the router's address
    When the router starts its load feed
    Then one log line says so, and the feed starts once the port is free

  Scenario: The programs use the load feed only where it is switched on
    Given an engine, and a relay and a router with and without the load feed
    Then only the relay with the feed sends the engine's load to a subscriber
    And only the router with the feed has a metric of it
