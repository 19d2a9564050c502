Feature: The whole path
  A request goes from the caller through a router and an agent to a target and
  back, and is paid from a prepaid budget in the key-value service.

  Scenario: Requests of every kind are served and paid once
    Given a site of separate processes
    When a caller asks for a streamed answer of 20 words
    And a caller asks for a whole answer of 12 words
    And a caller calls the plain service
    Then every answer is whole and the caller's own
    And the store's account has paid exactly what the targets ran
    And after every router has stopped the account holds no grant

  Scenario: Requests that cannot be served get a typed refusal
    Given a site of separate processes
    Then a request with no known key is refused with 401 key_unknown
    And a request for no known model is refused with 404 not_found
    And a request that is no JSON is refused with 400 request_invalid
    And a request of more tokens than the budget has is refused with 402 budget_exhausted
    And nothing has run at any target

  Scenario: Refused requests do not use a workspace's limit up
    Given a site whose workspace may have 2 requests in flight
    When 6 requests over the budget are refused at each router
    Then a request of the workspace is served at each router
