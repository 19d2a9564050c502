Feature: Causes of failed requests, from the routers' log lines

  Scenario Outline: Each kind of line has its cause
    Given a log line of event <event> with <fields>
    When the log is explained
    Then its cause is <cause>

    Examples:
      | event | fields                                                      | cause          |
      | 2401  | status=402 reason=budget used=9                             | budget_spent   |
      | 2401  | status=503 reason=budget used=9                             | lender_refused |
      | 2401  | status=503 reason=budget own_used=0 own_cap=0               | no_lender      |
      | 2401  | status=503 reason=budget own_used=1 own_cap=1 isolated=true | own_cap        |
      | 2401  | status=503 reason=no_catalogue                              | no_catalogue   |
      | 2401  | status=404 reason=no_route                                  | not_allowed    |
      | 2401  | status=503 reason=leaving                                   | leaving        |
      | 2404  | status=504 reason=leaving begun=true                        | leaving        |
      | 2404  | status=504 reason=timeout                                   | timeout        |
      | 2404  | status=503 reason=full                                      | full           |
      | 2404  | status=503 reason=no_target                                 | no_target      |
      | 2404  | status=503 reason=queue_full                                | queue_full     |
      | 2404  | status=503 reason=too_late                                  | too_late       |
      | 2404  | status=503 reason=limited                                   | limited        |
      | 2404  | status=503 reason=paused                                    | paused         |
      | 2404  | status=503 reason=warming_up                                | warming_up     |
      | 2404  | status=503 reason=evacuated                                 | evacuated      |
      | 2404  | status=503 reason=quarantined                               | quarantined    |
      | 2404  | status=503 reason=version_unknown                           | version_unknown |
      | 2404  | status=503 reason=version_gone                              | version_gone   |
      | 2404  | status=502 reason=ConnectionBroken                          | broken         |
      | 2403  | status=500                                                  | target_failed  |
      | 2405  | events=3                                                    | caller_left    |
      | 2407  | events=3 since_stop=3.1                                     | process_ended  |

  Scenario: Lines without a failure and lines that aren't events are counted separately
    Given the lines of a router that served 3 requests, dropped 7 lines and wrote 2 lines that are no events
    When the log is explained
    Then 3 are served, 7 are dropped, 2 are no events and no cause is found
