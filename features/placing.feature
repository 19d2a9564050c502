Feature: Which engine a prompt goes to

  Scenario: Short answers don't pause while long prompts are read
    When a minute of long and short prompts is placed on eight engines
    Then less than 1 % of the short answers pause too long
    And no more long answers pause than with the least-running choice
    And all routers came to keep long prompts apart

  Scenario: Any engine takes any prompt where reading disturbs nobody
    When the same prompts are placed on engines that read fast enough
    Then no router keeps long prompts apart
    And less than 1 % of the short answers pause too long on them

  Scenario: All routers give the same engines to long prompts, even in each domain
    When any engines are listed in any order
    Then the engines for long prompts are the same, as many as their share
    And each domain with two engines keeps one of each kind while it can
