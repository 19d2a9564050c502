Feature: The documentation agrees with the code

  Scenario: docs/EVENTS.md lists every log event, and no other
    Then docs/EVENTS.md lists exactly the events of the code

  Scenario: docs/CALLERS.md lists every refusal that a caller can get
    Then docs/CALLERS.md names the code and status of each refusal
