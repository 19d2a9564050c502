Feature: The router's own records, if another writer has left odd ones

  Scenario Outline: <odd> is refused
    When a record of the store is <odd>
    Then it is refused

    Examples:
      | odd                                |
      | a budget page with -1 closed       |
      | a budget page with -1 used         |
      | a budget page with a cap of -1     |
      | a budget page with a cap of 10^400 |
      | a budget page with a rate of nan   |
      | a host record with a cap of -1     |
      | a host record with a cap of 10^400 |
      | a host record bound until -1       |
      | a contact proof of the time -1     |
      | a stamp nested 200000 deep         |
      | a stamp that expires at -1         |
      | an answer notice of age -1         |
      | a router at port 65536             |
      | a router at port 10^400            |

  Scenario Outline: Budgets hold and requests are served beside <odd>
    When a router starts beside <odd>, and requests of 30 tokens follow
    Then they are answered with <statuses> out of a budget of 100 tokens
    And the record is refused and logged
    And no task has failed because of an odd record

    Examples:
      | odd                                        | statuses           |
      | a budget page with -1000 closed            | 503, 503, 503, 503 |
      | a stamp of the process before that is deep | 200, 200, 200, 402 |
      | a host record that becomes invalid         | 200, 200, 200, 402 |

  Scenario Outline: Requests are served out of a budget of <tokens> tokens
    When the catalogue has a budget of <tokens> tokens, and requests follow
    Then they are all served, also by a router that starts later
    And no task has failed because of an odd record

    Examples:
      | tokens |
      | 10^18  |
      | 10^400 |
