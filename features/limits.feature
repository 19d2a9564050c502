Feature: Limits at a router

  Scenario: Large workspaces leave room for those that come later
    Given a router with room for 30 requests
    When two large workspaces ask until each is refused
    Then each of them holds less than half of the room
    And 3 small workspaces are admitted
    And a place given back is taken again
