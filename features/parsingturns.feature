Feature: Costly requests leave the process to others in between

  # One connection with 5,000 small requests kept a router from all others for seconds.
  Scenario: Requests that were sent ahead let other work run
    When a connection brings 1,000 small requests at once
    Then other work has run at least 1,000 times before the last one was returned

  # Chunks of one byte cost a hundred times as much for each byte as long ones.
  Scenario: Connections with chunks of one byte take turns
    When 20 connections bring chunks of one byte
    Then at most 16 KiB of each are parsed between two runs of other work
    And all of the bodies are complete
