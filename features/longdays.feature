Feature: What a router keeps of a long day stays bounded

  Scenario Outline: The memory of a router does not grow with <kind> that come and go
    When <count> <kind> come and go, twice
    Then the second time leaves no more memory in use

    Examples:
      | kind            | count |
      | targets         | 6000  |
      | odd entries     | 2000  |
      | missed removals | 2000  |
      | routes          | 800   |

  Scenario: Connections to targets that are gone do not stay open
    When connections to 40 targets have rested past their idle limit
    Then only the connection that was released last is open
