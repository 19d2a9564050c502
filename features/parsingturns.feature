Feature: Costly requests leave the process to others in between

  # One connection with 5,000 small requests kept a router from all others for seconds.
  Scenario: Requests that were sent ahead let other work run
    When a connection brings 1,000 small requests at once
    Then other work has run at least 1,000 times before the last one was returned

  # Heads of requests in progress weren't counted, 80 KiB of legal size for each.
  Scenario: A request in progress counts with its head
    When a request with a path of 60,000 and headers of 16,000 bytes is read
    Then its connection uses at least 76,000 bytes

  # Chunks of one byte cost a hundred times as much for each byte as long ones.
  Scenario: Connections with chunks of one byte take turns
    When 20 connections bring chunks of one byte
    Then at most 16 KiB of each are parsed between two runs of other work
    And all of the bodies are complete
