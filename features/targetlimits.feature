Feature: Targets that name how many requests a second they take from all routers

  Scenario: A target that names a limit gets as many requests as before
    Given 4 routers and 6 targets
    When one target names a limit of 2.4 a second for 12 seconds beside 50 requests a second
    Then no 4 seconds bring it more than one and a half times its limit and 5 more
    And at least 0.97 of all requests are served

  Scenario: Each of many routers takes a part of a small limit
    Given 30 routers and 6 targets
    When one target names a limit of 2.4 a second for 12 seconds beside 50 requests a second
    Then no 4 seconds bring it more than one and a half times its limit and 5 more
    And at least 0.97 of all requests are served

  Scenario: A target that takes hardly anything is sent to again and again
    Given 4 routers and 6 targets
    When one target names a limit of 0.3 a second for 12 seconds beside 50 requests a second
    Then no 4 seconds bring it more than one and a half times its limit and 5 more
    And at least 0.97 of all requests are served

  Scenario: A limited target that rejects gets second sends beyond its limit
    Given 4 routers and 6 targets
    When one target rejects and names a limit of 2.4 a second for 12 seconds
    Then no 4 seconds bring it more than one and a half times its limit and 5 more
    And at least 0.97 of all requests are served

  Scenario: Requests wait or are sent on where all targets are limited
    Given 4 routers and 6 targets
    When all targets name a limit of 2.4 a second for 12 seconds beside 50 requests a second
    Then no 4 seconds bring it more than one and a half times its limit and 5 more
    And the targets get at least 0.6 of what they take
    And all others are refused within 0.1 seconds with a time to come back

  Scenario Outline: A target that names its limit no more stays left alone
    Given <routers> routers and 6 targets
    When one target names a limit of 2.4 a second for 6 seconds beside 50 requests a second
    Then 2 seconds after its last word it gets half of an even share again

    Examples:
      | routers |
      | 4       |
      | 30      |

  Scenario: The parts of a limit are more than the whole
    When 150 generated limits are divided among up to 200 routers
    Then the parts make the limit, and no window holds more than it may

  Scenario: Prompts keep a limited engine as their home
    Given four engines of which the home of a prompt names a limit
    When two routers choose an engine for its prompt
    Then both take the same engine, and another one than the limited

  Scenario: Notices of other routers are not heeded
    When another router says that a target names a limit, and that it has ended
    Then this router goes by it, and passes nothing on

  Scenario: A notice that is none does harm
    When other routers send limits that are none
    Then each is refused, and no limit is known

  Scenario: An answer from before the limit ends it
    When an answer without a limit comes to a request from before the limit was named
    Then the limit holds until an answer to a later request names none

  Scenario: A target stays left alone for ever when a notice is lost
    When no router tells of the end of a limit
    Then this router tries the target again after one to two minutes
