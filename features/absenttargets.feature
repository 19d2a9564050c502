Feature: Entries of targets that have ended

  Scenario Outline: Targets that all restart are used as soon as they are listed
    Given <routers> routers and 6 targets
    When all targets crash and start again at their addresses beside their old entries
    Then at least 0.95 of the requests sent from 0.3 seconds after their start are served

    Examples:
      | routers |
      | 4       |
      | 30      |

  Scenario: Ended targets don't make a service look full
    Given 4 routers and 12 targets
    When 7 targets end while their entries remain
    Then at least 0.99 of the requests sent from 0 seconds after it are served

  Scenario: Of several entries with one address the one that appeared last counts
    When a first listing and then a change bring entries with the same address
    Then the newest of the listing is the candidate, and then the one of the change
    And the one before is a candidate again once the address answered for it
