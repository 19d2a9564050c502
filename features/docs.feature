Feature: The pages agree with the code

  Scenario: Every log event is catalogued, and no other
    Then docs/EVENTS.md lists exactly the events of the code

  Scenario: Every refusal that a caller can get stands on the callers' page
    Then docs/CALLERS.md names the code and status of each refusal
