Feature: Money under failure
  A workspace never spends more than it has paid for, and what it has paid for
  can be spent through any router. Each scenario ends with the check of every
  promise by the targets' run logs, the store's history and the callers' bytes.

  Scenario: Two routers draw one budget near zero at the same time
    Given a site whose workspace has 3000 tokens
    When 24 callers ask both routers at once for 40 words each
    Then no request was refused for good while the budget covered it
    And the rest of the budget can still be spent through either router
    And every promise holds

  Scenario: Answers of the store are lost after they took effect
    Given a site whose workspace has 20000 tokens
    And the store loses the answers of a third of the writes
    When 24 callers ask both routers at once for 40 words each
    And the store loses no more answers
    Then every caller has a whole answer
    And every promise holds

  Scenario: The store is down while the grants last and is topped up after
    Given a site whose workspace has 3000 tokens
    And both routers have served 2 requests of 10 words
    When the store goes down for callers, and the routers serve what they hold
    And the budget is topped up by 2000 tokens and the store serves again
    Then a request of 1500 tokens is served
    And every promise holds

  Scenario: Two operators top up at once
    Given a site whose workspace has 1000 tokens
    When two operators each pay 500 tokens ten times at once, each payment twice
    Then the account was topped up with 11000 tokens
    And every promise holds

  Scenario: A budget is used up and topped up again
    Given a site whose workspace has 200 tokens
    When callers ask in turn for 20 words each until they are refused
    Then the refusal is 402 budget_exhausted
    When an operator pays 1000 tokens
    Then a request of 200 tokens is served
    And every promise holds

  Scenario: The budget is held by a router that was not looked at yet
    Given a site of routers that hardly ever look at sessions, with 200 tokens
    When callers ask in turn for 20 words each until they are refused
    Then the refusal is 402 budget_exhausted
    And every promise holds

  Scenario: A caller leaves its stream
    Given a site whose workspace has 20000 tokens
    When a caller leaves a stream of 200 words after its first pieces
    Then the bill stays at what was generated
    And every promise holds
