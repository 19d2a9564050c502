Feature: What a router keeps of a long day stays bounded

  Scenario: Connections to targets that are gone do not stay open
    When connections to 40 targets have rested past their idle limit
    Then only the connection that was released last is open
