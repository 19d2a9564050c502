Feature: The route of a request

  Scenario: The longest prefix that matches a path decides
    When paths are looked up among random routes
    Then each has the first route with the longest prefix that matches

  Scenario: The time of a lookup does not grow with the number of routes
    When paths are looked up among 14 and among 12600 routes
    Then a lookup among more routes takes at most 20 times as long
