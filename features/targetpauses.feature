Feature: Targets that reject requests and ask for a pause

  Scenario Outline: A target that asks for a pause gets no requests in it
    Given <routers> routers and 6 targets
    When one target rejects <which> request with a pause of 3 seconds for 9 seconds
    Then no router sends it more than 2 requests from half a second after a rejection to the end of the pause
    And at least 0.98 of all requests are served

    Examples:
      | routers | which        |
      | 4       | every        |
      | 4       | every second |
      | 30      | every        |
      | 30      | every second |

  Scenario Outline: A target is used again after its pause, without a burst
    Given <routers> routers and 6 targets
    When one target rejects every request with a pause of 3 seconds for 2 seconds
    Then 2 seconds after the pause ends it gets half of an even share again
    And in no second after the pause it gets over 1.5 times what any other target gets in one

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

  Scenario: The longest pause that a target asked for holds
    When answers ask for pauses of 3 and 1 seconds, and requests from before succeed
    Then the target is paused for 3 seconds after the first answer

  Scenario: Few requests wait for answers at once after a pause
    When a target that was paused is sent requests as long as it is available
    Then 1 request waits at first, 2 after an answer and 4 after three answers
    And after 16 answers their number is not limited

  Scenario: A new incarnation begins without a pause
    Given 4 routers and 6 targets
    When one target rejects every request with a pause of 30 seconds and restarts
    Then its new incarnation gets half of an even share

  Scenario: Pauses that can't be meant are replaced by a default and logged once
    When answers ask for pauses of "-1", "soon", "nan", "inf", "1e12" and a date
    Then each pause lasts 5 seconds and is logged once as unreadable
