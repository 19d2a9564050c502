Feature: Random plays of a router that is told to stop

  Scenario: Every request gets what it was promised
    Given 40 plays of a router that is told to stop, drawn from seed 1
    When each is played
    Then each request that the router has read got what it was promised
    And each process has ended by itself within the grace time
