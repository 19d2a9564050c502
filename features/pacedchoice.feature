Feature: Choice of engines by the estimated time to the first event

  Scenario: Engines of equal pace are chosen as without their pace
    Given 12 engines of the paces 1.0
    When 500 prompts are placed under random loads, with and without the paces
    Then both choices are the same

  Scenario Outline: A slow engine gets its share by pace
    Given <count> engines of the paces <paces>
    When more prompts than they can read arrive for 20 seconds
    Then each gets a share of the tokens by its pace, within a fifth

    Examples:
      | count | paces         |
      | 2     | 1.0, 2.4      |
      | 9     | 1.0, 1.0, 2.4 |
      | 9     | 0.8, 1.0, 1.3 |

  Scenario: An idle slow engine is used in a burst
    Given 9 engines of the paces 1.0, 1.0, 2.4
    When 60 prompts arrive at once
    Then each slow engine gets at least 1 of them and fewer than each fast one

  Scenario: A slow engine isn't used while a faster one is idle
    Given 9 engines of the paces 1.0, 1.0, 2.4
    When 5 prompts arrive at once
    Then each slow engine gets none

  Scenario Outline: Only a fresh slowdown moves a prompt
    Given 2 engines of the paces 1.0
    When the engine that would be chosen reports a slowdown of 3 and a prompt arrives <age> s later
    Then it goes to the <engine> engine

    Examples:
      | age  | engine |
      | 0.0  | other  |
      | 0.15 | other  |
      | 0.16 | same   |

  Scenario: Prompts start sooner with paces where routers don't see each other's prompts
    Given 9 engines of the paces 1.0, 1.0, 2.4
    When 8 routers place prompts at 0.7 of the engines' capacity for 20 seconds
    Then the slowest of a hundred prompts start in half the time, others no later

  Scenario: Running routers learn the pace of a target from its streams
    When 4 routers send streams to 6 targets, of which the second one takes 3 times as long
    Then with the feature pace it gets less than half as many streams as without
    And each router knows the paces of 5 targets or more

  Scenario: Changes of paces and hot parts are logged without flooding the log
    Given 9 engines of the paces 1.0, 1.0, 2.4
    When the changes of the paces and of a part that becomes hot are logged twice in 10 seconds
    Then there is one line for each slow engine and one for the part, without its id
