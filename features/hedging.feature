Feature: Late plain requests that are sent to a second target

  # A request waited until its deadline for a target that had lost its answer.
  Scenario: A late idempotent request gets the answer of a second target
    Given routers that hedge and targets whose answer times are known
    When one target never answers an idempotent request
    Then the request is served within 0.5 seconds by the second target
    And the connection to the first target is closed
    And the target of the answer is counted as "second"

  # Late answers that come after all must not be thrown away.
  Scenario: The first complete answer is passed on
    Given routers that hedge and targets whose answer times are known
    When one target answers an idempotent request after 0.27 seconds
    Then the request is served by the first target
    And the target of the answer is counted as "first"

  # An answer that breaks off must not end the wait for the other one.
  Scenario: The second answer counts when the first breaks off
    Given routers that hedge and targets whose answer times are known
    When one target resets an idempotent request after 0.27 seconds
    Then the request is served within 0.5 seconds by the second target
    And the target of the answer is counted as "second"

  # A rejection must not be passed on while another target works on the request.
  Scenario: A rejection by the second target leaves the first to answer
    Given routers that hedge and targets whose answer times are known
    When one target answers after 0.4 seconds and all others reject the request
    Then the request is served by the first target
    And at most 2 targets got the request of that caller

  # A second send beyond these bounds breaks a promise to callers or to the fleet.
  Scenario Outline: No second target is asked
    Given routers that hedge and targets whose answer times are known
    And <bound>
    When one target never answers <a request>
    Then only that target gets it

    Examples:
      | bound                            | a request             |
      | nothing else                     | a request at most once |
      | routers without hedging          | an idempotent request |
      | routers without any retries      | an idempotent request |
      | a route with one target          | an idempotent request |
      | no answer times                  | an idempotent request |
      | nothing else                     | a request that is quarantined meanwhile |

  # An early second send would double the load, a late one would not help.
  Scenario Outline: The delay follows from recent answers and the objective
    Given <count> answers of a service within 0.01 to 0.1 seconds, <age> seconds ago
    When the objective is <objective> seconds
    Then a second target is asked after <delay> seconds

    Examples:
      | count | age | objective | delay |
      | 100   | 1   | 0.2       | 0.2   |
      | 100   | 1   | 1.0       | 0.5   |
      | 10    | 1   | 0.2       | none  |
      | 100   | 40  | 0.2       | none  |
