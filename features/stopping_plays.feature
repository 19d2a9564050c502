Feature: Random trials of a router that is told to stop

  Scenario: Every request gets an answer that the stop allows
    Given 40 trials of a router that is told to stop, drawn from seed 1
    When each trial is run
    Then each request that the router has read is answered as the stop allows
    And each process has ended by itself within the grace time
