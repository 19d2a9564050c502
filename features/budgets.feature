Feature: Prepaid budgets over many routers

  Scenario: No combination of crashes, partitions and lost answers overspends a budget
    Given routers that share one budget in virtual time
    When 40 generated sequences of faults are run
    Then no budget was ever overspent
    And most requests were served while the budget lasted

  Scenario: A session opens before any draw, even if the page changes often
    Given 5 routers that are all killed under load
    When they have started again
    Then what was spent and what is held fits the budget
    And each ended process is settled

  Scenario: A crash of all routers in contact with the store strands few tokens
    Given 5 routers that have spent a third of a budget
    When all of them are killed at once and start again
    Then less than 5 % of the budget is stranded

  Scenario Outline: Callers are served again after all routers lost power
    Given 5 routers that have spent a third of a budget at 20 requests a second
    When all machines lose power for <seconds> s and callers continue, <seeds> seeds
    Then at least a quarter of the requests from 12 s after the return are served
    And fewer tokens are stranded than callers request in <seconds> s

    Examples:
      | seconds | seeds |
      | 1.2     | 6     |
      | 2.0     | 6     |
      | 3.0     | 6     |

  Scenario: A boot ID that survives a power loss doesn't outweigh contact proofs
    Given 5 routers that have spent a third of a budget at 20 requests a second
    And machines that keep their boot IDs and continue with another boot clock
    When all machines lose power for 2.0 s and callers continue, 6 seeds
    Then fewer tokens are stranded than callers request in 2.0 s

  Scenario Outline: A power loss of isolated routers never hides what they spent
    Given 5 routers that have spent a third of a budget at 20 requests a second
    When <outage> while demand is high and all lose power, 20 generated times
    Then at least the tokens that callers may have received count as spent each time

    Examples:
      | outage                              |
      | all are cut off from the store      |
      | the store is down and pauses leases |
      | the store loses answers to writes   |

  Scenario: A lender that dies when the store goes down strands few tokens
    Given 5 routers that have spent a third of a budget
    When the store goes down, the lender is killed 0.2 s later and the store is back after 6 s
    Then less than 5 % of the budget is stranded

  Scenario: A host record from before a reboot proves nothing
    Given 5 routers that have spent a third of a budget
    When the store goes down, the lender's machine reboots and the store is back after 6 s
    Then what the lender held counts as spent

  Scenario: A stopped router returns its unspent tokens
    Given 5 routers that have spent a third of a budget
    When one of them is stopped while the store is slow
    Then less than 1 % of the budget is stranded

  Scenario: Requests wait for tokens instead of being refused while the store is slow
    Given 5 routers that have spent a third of a budget
    When the store takes 60 times as long for 5 seconds
    Then fewer than 1 in 20 requests of these seconds are refused

  Scenario Outline: A process that dies in contact with the store never spent more than is counted
    Given 5 routers that have spent a third of a budget
    When 40 requests come at once and <victim> dies <delay> ms later
    Then at least the tokens that callers may have received count as spent

    Examples:
      | victim     | delay |
      | the lender | 2     |
      | the lender | 6     |
      | a borrower | 2     |
      | a borrower | 6     |
      | a borrower | 60    |

  Scenario: Routers that are cut off from the store lend to each other
    Given 5 routers that reach each other but not the store
    When requests continue for 2 seconds
    Then all requests are served though only one router holds tokens

  Scenario: A loan whose answer is lost does not overspend the budget
    Given 5 routers that lose half of the answers to loans
    When requests continue for 5 seconds
    Then at least the delivered tokens count as spent, and the budget is not overspent

  Scenario: Loans keep the rate of store calls low
    Given 5 routers that share a budget without faults
    Then the store is called less than 15 times a second in all

  Scenario: Tokens whose return met a conflict are returned soon afterwards
    Given 5 routers that share a budget without faults
    When one of them draws from the store and the page then changes constantly
    Then it holds no more than it has spent 4 seconds later

  Scenario: A router opens its session soon although the page changes constantly
    Given 5 routers that share a budget without faults
    When one of them is killed and the page changes every 8 ms
    Then its next process has settled it within 4 seconds

  Scenario: A rolling restart of all routers refuses few requests
    Given nearly unspent budgets, and 30 routers on low-bandwidth links
    When all of them are stopped and started in turn, twice, with 3 seeds
    Then at most 2 % of the requests are refused
    And no budget is overspent and less than 0.1 % of the tokens are stranded
    And the store is called at most 3 times for 4 requests

  Scenario: Shares without tokens are left out of the budget page
    Given 5 routers that have run for 6 seconds with 24 budgets
    Then the page contains no share without tokens

  Scenario: More routers that start at once cause no more store calls per router
    When 5 routers start at once, and 60 elsewhere
    Then the number of store calls per router is no higher where 60 start

  Scenario: Loans of two lenders and tokens lent ahead never overspend a budget
    Given routers that share one budget in virtual time
    When 40 generated sequences of faults and late loans are run, with the lending feature
    Then no budget was ever overspent
    And most requests were served while the budget lasted

  Scenario Outline: A second lender is asked after a quarter of the objective, within bounds
    When the objective of a request is <objective> s
    Then a second lender is asked after <delay> s

    Examples:
      | objective | delay |
      | 0.1       | 0.06  |
      | 0.535     | 0.1338 |
      | 5         | 0.25  |

  Scenario: A request doesn't wait for a silent lender while another one answers
    When the first lender's answers take 0.5 s longer for 4 s, with the lending feature
    Then requests wait at most 0.15 s and most of them at most 0.01 s
    And exactly the delivered tokens count as spent

  Scenario: Without the lending feature requests wait for the first lender
    When the first lender's answers take 0.5 s longer for 4 s, without the lending feature
    Then most requests wait longer than 0.4 s

  Scenario: Loans whose answers come too late count as spent
    When the first lender's answers take 2 s longer for 4 s, with the lending feature
    Then at least the delivered tokens count as spent

  Scenario: Most requests find tokens that were borrowed ahead of demand
    When requests come for 20 s, with the lending feature
    Then at least 60 % of the requests wait for no lender
    And no router holds more than its demand of a second
    And what routers hold counts as spent at the lender at every moment
    And no router holds tokens afterwards
    And exactly the delivered tokens count as spent

  Scenario: Without the lending feature requests borrow their own tokens
    When requests come for 20 s, without the lending feature
    Then at most 40 % of the requests wait for no lender

  Scenario Outline: Tokens aren't borrowed ahead from the last tenth of a budget
    When all but <rest> % of a budget is spent, with the lending feature
    Then no router holds more than the unused rest of a request

    Examples:
      | rest |
      | 8    |
      | 1    |

  Scenario Outline: A refused borrower returns what it holds ahead of demand
    When a lender is asked for <tokens> tokens
    Then it lends <lent> tokens and says that the budget is <state>

    Examples:
      | tokens  | lent | state      |
      | 1000    | 1000 | sufficient |
      | 2000000 | 0    | scarce     |
