Feature: Targets that reject requests and ask for a pause

  Scenario Outline: A target that asks for a pause gets no requests in it
    Given <routers> routers and 6 targets
    When one target rejects <which> request with a pause of 3 seconds for 9 seconds
    Then no router sends it more than 2 requests from half a second after a rejection to the end of the pause
    And at least 0.98 of all requests are served

    Examples:
      | routers | which        |
      | 4       | every        |
      | 30      | every second |

  Scenario Outline: A target is used again after its pause, without a burst
    Given <routers> routers and 6 targets
    When one target rejects every request with a pause of 3 seconds for 2 seconds
    Then 2 seconds after the pause ends it gets half of an even share again
    And in no second after the pause it gets more than three even shares

    Examples:
      | routers |
      | 4       |
      | 30      |

  Scenario: Requests are refused at once with the soonest end where all targets pause
    Given 4 routers and 6 targets
    When all targets reject every request with a pause of 3 seconds for 9 seconds
    Then no router sends it more than 2 requests from half a second after a rejection to the end of the pause
    And all others are refused within 0.1 seconds with a Retry-After time
    And no Retry-After time ends before the first pause, or a second after it

  Scenario: A new incarnation begins without a pause
    Given 4 routers and 6 targets
    When one target rejects every request with a pause of 30 seconds and restarts
    Then its new incarnation gets half of an even share
