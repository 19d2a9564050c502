Feature: Callers that leave before they are answered

  Guards against work that nobody waits for. A router that had stood still
  sent requests to targets although the end of their connections had arrived long before,
  bytes behind a request kept the router from seeing the end at all, and a request that
  was given up was still delivered from the send buffer of the operating system.

  Scenario: Requests of callers that left while the router stood still reach no target
    When a router stands still while 400 callers send requests and three of four leave
    Then no request reaches a target half a second after its caller has left
    And all callers that stayed are answered
    And no task of the router has failed

  Scenario: Requests behind the first are not run for callers that have left
    Given targets that take 4 s to answer
    When 400 callers leave after 1 s, with more requests sent behind their first
    Then no request reaches a target half a second after its caller has left
    And no target works half a second later on a request whose caller has left
    And no task of the router has failed

  Scenario: A body that its target has not read is not delivered after its caller has left
    Given targets that read nothing for 2 s
    When 4 callers with bodies of 3 MiB leave after 1 s
    Then the router had begun to send them
    And no request reaches a target half a second after its caller has left
    And no task of the router has failed

  Scenario: Clients that close their sending half get what is answered at once
    When clients send checks, scrapes and a request without a route, and close their sending half
    Then all of them are answered
