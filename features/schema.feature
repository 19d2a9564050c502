Feature: The schema between the processes

  Scenario: A frame comes back as it was written
    Given a submit frame with a body of 1000 bytes
    When it is written and read again
    Then the body and the deadline are the same
