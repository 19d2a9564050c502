@alone
Feature: Targets that answer many requests at once with bytes without end

  A process that reads such answers must neither end nor exceed its memory, and must go
  on to serve the requests of others.

  Scenario: Many requests get bytes without end
    When a crowd sends requests that get bytes without end
    Then the process lives and stays within its memory and descriptors
    And an ordinary request is answered beside the crowd and after it

  Scenario: Many requests get heads without end
    When a crowd sends requests that get heads without end
    Then the process lives and stays within its memory and descriptors
    And an ordinary request is answered beside the crowd and after it

  Scenario: Many requests get bodies without end
    When a crowd sends requests that get bodies without end
    Then the process lives and stays within its memory and descriptors
    And an ordinary request is answered beside the crowd and after it

  Scenario: Many requests get unframed bodies without end
    When a crowd sends requests that get unframed bodies without end
    Then the process lives and stays within its memory and descriptors
    And an ordinary request is answered beside the crowd and after it

  Scenario: Many requests get streams without end
    When a crowd sends requests that get streams without end
    Then the process lives and stays within its memory and descriptors
    And an ordinary request is answered beside the crowd and after it
