Feature: Prepaid budgets over many routers

  Scenario: No mixture of crashes, cuts and lost answers overspends a budget
    Given routers that share one budget in virtual time
    When 40 mixtures of faults are played
    Then no budget was ever overspent
    And most requests were served while the budget lasted

  Scenario: A session is opened before any draw, however often the page changes
    Given 5 routers that are all killed while their callers press on
    When they have started again
    Then what was spent and what is held fits the budget
    And each dead process is accounted for

  Scenario: All routers die in contact and hardly anything is stranded
    Given 5 routers that have spent a third of a budget
    When all of them are killed at once and start again
    Then less than 5 % of the budget is stranded

  Scenario: A lender that dies as the store goes away strands hardly anything
    Given 5 routers that have spent a third of a budget
    When the store goes down, the lender is killed 0.2 s later and the store is back after 6 s
    Then less than 5 % of the budget is stranded

  Scenario: What a machine's former run wrote proves nothing
    Given 5 routers that have spent a third of a budget
    When the store goes down, the lender's machine starts again and the store is back after 6 s
    Then what the lender held counts as spent

  Scenario: A router that leaves gives back all that it holds
    Given 5 routers that have spent a third of a budget
    When one of them is stopped while the store is slow
    Then less than 1 % of the budget is stranded

  Scenario: While the store is slow callers wait for a draw instead of being refused
    Given 5 routers that have spent a third of a budget
    When the store takes 60 times as long for 5 seconds
    Then fewer than 1 in 20 requests of these seconds are refused

  Scenario Outline: A process that dies in contact never spent more than is counted
    Given 5 routers that have spent a third of a budget
    When 40 requests come at once and <who> dies <delay> ms later
    Then no less counts as spent than callers may have got

    Examples:
      | who        | delay |
      | the lender | 2     |
      | the lender | 6     |
      | a borrower | 2     |
      | a borrower | 6     |
      | a borrower | 60    |

  Scenario: Routers that are cut off from the store lend to each other
    Given 5 routers of which each reaches the others only
    When callers go on for 2 seconds
    Then all requests are served though only one router holds tokens

  Scenario: A loan whose answer is lost overspends nothing
    Given 5 routers whose loans are answered and lost half of the time
    When callers go on for 5 seconds
    Then no less counts as spent than callers got, and the budget holds

  Scenario: Loans spare the store
    Given 5 routers that share a budget without faults
    Then the store is called less than 15 times a second in all

  Scenario: What a conflict keeps from being given back goes back soon after
    Given 5 routers that share a budget without faults
    When one of them draws for itself and the page then changes all the time
    Then it holds no more than it has spent 4 seconds later

  Scenario: A router opens soon though others write the page all the time
    Given 5 routers that share a budget without faults
    When one of them is killed and the page changes every 8 ms
    Then its next process has accounted for it within 4 seconds

  Scenario: Routers that are stopped one after another refuse hardly anything
    Given budgets that are nearly whole, and 30 routers on narrow links
    When all of them are stopped and started in turn, twice, with 3 seeds
    Then at most 2 % of the requests are refused
    And no budget is overspent and less than 0.1 % of all is stranded
    And the store is called at most 3 times for 4 requests

  Scenario: What a host holds nothing of takes no place on the shared page
    Given 5 routers that have run for 6 seconds with 24 budgets
    Then the page tells of no share that holds nothing

  Scenario: Routers that start at once don't keep the store busy for each other
    When 5 routers start at once, and 60 elsewhere
    Then for each router the store is called no more often where 60 start
