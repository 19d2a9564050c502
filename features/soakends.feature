Feature: The soak's check of how processes end

  # A second after the start excused less than a busy machine takes, and any end.
  Scenario Outline: Only a process whose program hasn't begun may end by SIGHUP
    Given a router's process that <act>
    When it is told to read its settings again 1.2 seconds later
    Then it ends, and the check finds <count> violations

    Examples:
      | act                                 | count |
      | stands still at its start           | 0     |
      | has begun and waits                 | 1     |
      | has begun and computes              | 1     |

  Scenario: A process that fails at its start violates the check
    Given a router's process that fails at once
    Then it ends, and the check finds 1 violations

  Scenario: A target that two faults restart at once listens once
    When a target that has ended is started twice at the same time
    Then it serves as one new incarnation

  Scenario Outline: A <role> that stops is not ended by a signal to read its settings
    When a <role> is told to stop, and again and again to read its settings
    Then it exits with code 0

    Examples:
      | role   |
      | router |
      | relay  |
