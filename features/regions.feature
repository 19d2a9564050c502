Feature: Routes and workspaces that are bound to regions

  Scenario Outline: Only targets of the allowed regions get a request
    Given 4 routers and 6 targets
    When the route allows "<route>" and the workspace "<workspace>"
    Then the requests reach targets in "<reached>" only

    Examples:
      | route   | workspace | reached |
      | r-1     | all       | r-1     |
      | all     | r-0       | r-0     |
      | r-0 r-1 | r-1       | r-1     |
      | all     | all       | r-0 r-1 |

  Scenario: Requests that no region may serve are refused at once
    Given 4 routers and 6 targets
    When the route allows "r-0" and the workspace "r-1"
    Then no request reaches a target
    And all others are refused within 0.1 seconds with a Retry-After time

  Scenario: Regions are read from the operators' record
    When a record binds a route and a workspace to regions and leaves others free
    Then the catalogue has these regions, and none for the others
