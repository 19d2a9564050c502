Feature: Callers that leave before they are answered

  Guards against work that nobody waits for. A router that had stood still
  sent requests to targets although the end of their connections had arrived long before.

  Scenario: Requests of callers that left while the router stood still reach no target
    When a router stands still while 400 callers send requests and three of four leave
    Then no request reaches a target half a second after its caller has left
    And all callers that stayed are answered
