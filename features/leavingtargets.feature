Feature: Targets that say in their answers that they leave

  Scenario Outline: A target that says that it leaves gets no more requests
    Given <routers> routers and 6 targets
    When one target says so for 8 seconds while its entry is written again as ready
    Then no router sends it a request later than 0.5 seconds after it was told
    And at least 0.99 of all requests are served

    Examples:
      | routers |
      | 4       |
      | 30      |

  Scenario: A new incarnation of a target that left is used
    Given 4 routers and 6 targets
    When one target says so for 3 seconds and starts again
    Then its new incarnation gets half of an even share within 8 seconds

  Scenario: A target that says so stays excluded after its entry was away
    Given 4 routers and 6 targets
    When one target says so for 6 seconds while its entry is removed and back
    Then no router sends it a request later than 0.5 seconds after it was told

  Scenario: An answer of another target at the address says nothing about this one
    When a misdirected answer says that its target leaves
    Then the addressed target isn't taken for leaving

  Scenario: A caller that disconnects while the answer is read doesn't hide the leaving
    When the head of an answer says that its target leaves and its request is cancelled
    Then the target isn't a candidate for the next request
