Feature: Why no target may get a request, and what the caller is told

  Scenario Outline: The refusal follows from the hold that ends first
    When the targets of a service are held as "<holds>"
    Then a request is refused as "<reason>"
    And its caller may retry after <from> to <to> seconds

    Examples:
      | holds                            | reason     | from | to   |
      |                                  | no_target  | 0.5  | 1.0  |
      | evacuated, evacuated             | evacuated  | 1.0  | 2.0  |
      | evacuated, tried free            | no_target  | 0.5  | 1.0  |
      | evacuated, tried paused 2        | paused     | 2.1  | 2.2  |
      | tried paused 1, limited 3 2.4    | limited    | 3.0  | 6.0  |
      | paused 3, paused 2               | paused     | 2.1  | 2.2  |
      | paused 3, limited 1 2.4          | limited    | 1.0  | 2.0  |
      | paused 1, limited 4 2.4          | paused     | 1.1  | 1.2  |
      | evacuated, warming_up 0.5 11     | warming_up | 0.5  | 1.0  |
      | limited 3 2.4, warming_up 0.2 11 | warming_up | 0.2  | 0.4  |
      | warming_up inf 2, limited inf 2  | warming_up | 0.25 | 0.5  |
      | limited 30 0.03                  | limited    | 5.0  | 10.0 |
      | limited 0.01 100                 | limited    | 0.1  | 0.2  |
