Feature: Cached parts are fetched where copying takes less time than reading
  The engine at which the parts are cached is the only other one.

  Scenario Outline: The time of a copy is compared with the time of reading
    Given engines that read a token in 14.3 microseconds, and the paces 1.0, <pace>
    When the second one is chosen for <tokens> tokens that the first one has cached, at <copy> microseconds a copied token
    Then it <does>

    Examples:
      | pace | tokens | copy | does         |
      | 1.0  | 6300   | 8.1  | fetches them |
      | 1.0  | 1000   | 8.1  | reads them   |
      | 1.0  | 6300   | 20   | reads them   |
      | 2.4  | 6300   | 20   | fetches them |
      | 0.5  | 6300   | 8.1  | reads them   |
      | 2.4  | 600    | 8.1  | fetches them |

  Scenario: Copies in progress from the same source count
    Given engines that read a token in 14.3 microseconds, and the paces 1.0, 1.0
    When the first one sends 6300 tokens to another engine
    And the second one is chosen for 6300 tokens that the first one has cached, at 8.1 microseconds a copied token
    Then it reads them

  Scenario: Copies that have ended don't count
    Given engines that read a token in 14.3 microseconds, and the paces 1.0, 1.0
    When the first one sends 6300 tokens to another engine
    And that copy has ended
    And the second one is chosen for 6300 tokens that the first one has cached, at 8.1 microseconds a copied token
    Then it fetches them

  Scenario: A crowded engine is no source
    Given engines that read a token in 14.3 microseconds, and the paces 1.0, 1.0
    When the first one reports 33 running requests of 64
    And the second one is chosen for 6300 tokens that the first one has cached, at 8.1 microseconds a copied token
    Then it reads them

  Scenario Outline: The limit by tokens applies until reading was observed
    Given engines whose reading was not observed
    When the second one is chosen for <tokens> tokens that the first one has cached, at 5 microseconds a copied token
    Then it <does>

    Examples:
      | tokens | does         |
      | 500    | fetches them |
      | 499    | reads them   |
