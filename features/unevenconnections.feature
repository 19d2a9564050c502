Feature: Most new connections go to one router

  The balancer gives nearly all new connections to one router for some seconds.

  # Each router kept its fixed share of the rates, and the others' shares were unused.
  Scenario Outline: Rate limits of targets don't bind one router while others have room
    Given <routers> routers and 8 targets
    When all targets report 8 requests per second, and 0.95 of 44 per second come to one router
    Then of its requests at least 0.75 as many as before are served at the first attempt
    And no window of 4 seconds brings a target more than 1.5 times its limit and 5 more
    And the other routers refuse no more than a quarter of theirs

    Examples:
      | routers |
      | 4       |
      | 12      |

  # The router that borrows and the one that lends would both send.
  Scenario: Rate limits hold while a router with borrowed shares is cut off and returns
    Given 4 routers and 8 targets
    When the router with most connections loses the other routers for 3 seconds
    Then no window of 4 seconds brings a target more than 1.5 times its limit and 5 more
