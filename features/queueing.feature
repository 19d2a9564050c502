Feature: Less urgent requests wait while targets are crowded

  Scenario Outline: A request waits only where it would delay more urgent ones
    Given 2 targets of 4 slots that run <running> requests each, of which <ends> end per second
    And <urgent> urgent requests a second with an objective of 0.5 seconds
    When a request of rank <rank> is decided on <age> seconds after it was received
    Then the decision is <decision>

    Examples: No request waits in vain, and none is sent where it harms
      | running | ends | urgent | rank | age | decision       |
      | 0       | 100  | 20     | 2    | 0.0 | to send it     |
      | 3       | 100  | 20     | 2    | 0.0 | to send it     |
      | 3       | 5    | 20     | 2    | 0.0 | to let it wait |
      | 4       | 100  | 1      | 2    | 0.0 | to let it wait |
      | 4       | 100  | 1      | 2    | 1.6 | to send it     |
      | 4       | 100  | 0      | 2    | 0.0 | to send it     |
      | 4       | 100  | 1      | 0    | 0.0 | to send it     |
      | 400     | 100  | 1      | 0    | 4.0 | to refuse it   |
      | 400     | 100  | 1      | 2    | 4.0 | to refuse it   |
      | 400     | 0    | 1      | 0    | 4.0 | to send it     |

  Scenario Outline: Free slots are shared with routers whose queues aren't known
    Given 2 targets of 4 slots that run 0 requests each, of which 5 end per second
    And <routers> routers that share them
    And 20 urgent requests a second with an objective of 0.5 seconds
    When a request of rank 2 is decided on 0.0 seconds after it was received
    Then the decision is <decision>

    Examples:
      | routers | decision       |
      | 1       | to send it     |
      | 30      | to let it wait |

  Scenario Outline: A target has room while urgent requests start in time there
    Given 2 targets that start an urgent request after <seconds> seconds, or <idle> when idle
    And 1 urgent requests a second with an objective of 0.5 seconds
    When a request of rank 2 is decided on 0.0 seconds after it was received
    Then the decision is <decision>

    Examples: Slots alone don't tell whether prompts are read in time
      | seconds | idle | decision       |
      | 0.2     | 0.1  | to send it     |
      | 0.3     | 0.1  | to let it wait |
      | 0.6     | 0.5  | to send it     |

  Scenario: No request is sent to be rejected while all targets are full
    Given 2 targets of 4 slots that run 4 requests each, of which 100 end per second
    And all of them have just rejected a request
    When a request of rank 0 is decided on 0.0 seconds after it was received
    Then the decision is to let it wait
    And it is sent at the latest when half of its objective has passed

  Scenario: A request that no target may get is left to the selection, which says why
    Given no target
    And 1 urgent requests a second with an objective of 0.5 seconds
    When a request of rank 2 is decided on 0.0 seconds after it was received
    Then the decision is to send it

  Scenario: Refused callers return as capacity becomes free, and not all at once
    Given 100 requests wait and 50 end per second
    When 20 requests are refused since the queue is full
    Then their Retry-After times are spread between 2 and 4.1 seconds

  Scenario: The queue keeps its order and its count under any sequence of operations
    When generated requests join, leave and take their turns in a queue
    Then the queue always agreed with a sorted list

  Scenario: A full queue keeps the more urgent requests and all workspaces
    Given a queue that one workspace has filled with requests of rank 2
    When requests of other workspaces and ranks join it
    Then those of rank 1 and of another workspace displace its newest requests
    And its own and those of rank 3 are refused with a Retry-After time

  Scenario: A request whose wait ends overtakes its rank and no more urgent one
    When requests of ranks 2, 1, 2 and 1 wait, the second one of rank 2 for the longest
    Then those of rank 1 go before it when its wait ends, and the other one later

  Scenario: A request that arrives doesn't overtake those that wait
    When a request arrives just when a slot becomes free for one that waits
    Then it goes behind the one that waits

  Scenario: A stopping process ends all waits early enough
    When all waits are limited to 0.2 seconds from now on
    Then the requests go then, the more urgent one first

  Scenario: Bodies count against the bound of the queue
    When requests with bodies of 4 MiB join a queue
    Then 4 of them wait and the others are refused

  Scenario Outline: Bursts harm neither urgent requests nor those that wait
    Given <routers> routers and 9 targets of three paces
    When the load changes for 3 seconds: <burst>
    Then the share of urgent requests that start in time grows by at least <gain>
    And the share of others that start in time falls by at most 0.03
    And each request is served
    And no request waits longer than its objective

    Examples: Without a queue, requests of all ranks share the delay
      | routers | burst                                  | gain |
      | 1       | less urgent requests grow by 2.5 times | 0.1  |
      | 4       | less urgent requests grow by 2.5 times | 0.1  |
      | 30      | less urgent requests grow by 2.5 times | 0.05 |
      | 1       | urgent requests grow by 1.7 times      | 0.0  |
      | 4       | urgent requests grow by 1.7 times      | 0.0  |
      | 30      | urgent requests grow by 1.7 times      | 0.0  |
      | 4       | one workspace grows by 7 times         | 0.05 |
      | 30      | one workspace grows by 7 times         | 0.03 |

  Scenario: A workspace's burst delays itself and not its neighbours
    Given 1 routers and 9 targets of three paces
    When the load changes for 3 seconds: one workspace grows by 7 times
    Then the less urgent requests of other workspaces wait shorter than its own
    And large and small requests of a workspace wait about as long

  Scenario Outline: Nothing waits where targets have room
    Given <routers> routers and 9 targets of three paces
    When the load changes for 3 seconds: it is half of the usual one
    Then no request has waited

    Examples:
      | routers |
      | 1       |
      | 4       |
      | 30      |

  Scenario: A decision costs little where targets have room
    Given 26 targets of 48 slots that run 5 requests each, of which 100 end per second
    Then a decision takes less than 20 microseconds

  Scenario: A running router lets urgent requests pass those that wait
    When a router whose target is full gets less urgent and urgent requests
    Then the urgent request reaches the target first and the others follow in turn
    And the request whose caller left never reaches the target
    And its metrics tell what waits and how long requests of a rank have waited

  Scenario: Requests go at once while the feature is off
    When a router without the feature gets the same requests
    Then all of them reach the target at once

  Scenario: A stopping router sends what waits
    When a router stops while requests wait
    Then they are answered before the process ends
