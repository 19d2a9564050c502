Feature: Preferred engines by their pace and by the demand for a part

  Scenario: A slow engine is preferred for fewer parts
    Given 9 engines of the paces 1.0, 1.0, 2.4
    When the preferred engine of each of 2000 parts is determined
    Then a slow engine is preferred for 0.3 to 0.6 times as many parts as a fast one

  Scenario: Routers that measure slightly different paces prefer the same engines
    Given 26 engines of the paces 0.7, 0.7, 1.7
    When 5 routers measure these paces with errors of up to 5 % and choose for 500 parts
    Then they agree on the preferred engine of each part

  Scenario: Parts stay at the engines whose pace hasn't changed
    Given 9 engines of the paces 1.0, 1.0, 1.0
    When the preferred engine of each of 500 parts is determined before and after engine 4 has become slow
    Then only parts of engine 4 have moved

  Scenario Outline: A hot part is preferred at as many engines as its demand needs
    Given 26 engines of the paces 1.0
    When 5 routers see 8 prompts a second each for 60 seconds, <share> of them with one hot part
    Then it is preferred at <least> to <most> engines at each router
    And the engines of a router that prefers fewer are among those of the others
    And the prompts with the hot part are spread over <least> engines or more, the busiest with at most <busiest> of them

    Examples:
      | share | least | most | busiest |
      | 0.18  | 4     | 7    | 0.35    |
      | 0.01  | 1     | 1    | 1.0     |

  Scenario: The number of engines of a hot part is stable
    Given 26 engines of the paces 1.0
    When 5 routers see 8 prompts a second each for 60 seconds, 0.1 of them with one hot part
    Then the number changes at most 4 times at each router in the last 40 seconds

  Scenario: A part that cools down goes back to one engine
    Given 26 engines of the paces 1.0
    When 5 routers see 8 prompts a second each for 60 seconds, 0.18 of them with one hot part
    And for 120 more seconds 0.0 of them
    Then it is preferred at 1 to 1 engines at each router

  Scenario: Few prompts don't make a part hot
    Given 26 engines of the paces 1.0
    When the first 5 prompts of a router have the same part
    Then it is preferred at 1 to 1 engines at each router
