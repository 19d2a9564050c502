Feature: Placement of prompts on model engines

  Scenario: Long prompts don't pause the answers to short ones
    When a minute of long and short prompts is placed on eight engines
    Then less than 1 % of the short answers pause too long
    And no more long answers pause than with the least-running choice
    And all routers keep long prompts apart in the end

  Scenario: Any engine takes any prompt where engines read fast
    When the same prompts are placed on engines that read fast
    Then no router keeps long prompts apart in the end
    And less than 1 % of the short answers pause too long on them

  Scenario: All routers assign the same engines to long prompts, spread over the domains
    When generated lists of engines are split in two orders
    Then both orders give the same engines for long prompts, as many as their share
    And each domain has one or two engines for long prompts at a share of 0.75
