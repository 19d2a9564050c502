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

  Scenario: A router that leaves gives back all that it holds
    Given 5 routers that have spent a third of a budget
    When one of them is stopped while the store is slow
    Then less than 1 % of the budget is stranded

  Scenario: While the store is slow callers wait for a draw instead of being refused
    Given 5 routers that have spent a third of a budget
    When the store takes 60 times as long for 5 seconds
    Then fewer than 1 in 20 requests of these seconds are refused

  Scenario: A process that dies in contact never spent more than its record says
    Given 5 routers that have spent a third of a budget
    When 40 requests come at once to one of them and it is killed 2 ms later
    Then the dead process is charged at least what its callers may have got
