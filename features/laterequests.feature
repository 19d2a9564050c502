Feature: Requests that come late in the grace time of a router

  # Reported of other systems: they were taken, passed on and cut without an answer.
  Scenario: Requests that are passed on late are answered before the process ends
    When a router is told to stop while callers go on to send requests of all lengths
    Then each request that was passed on 3 s or more after it is answered, or ends at its deadline
    And each whole answer that a target was asked for before that has a status
    And later than that, requests were passed on and refused, and the router has ended by itself
