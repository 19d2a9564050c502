Feature: Quarantine of prompt parts that crash targets

  A fatal part crashes each target that begins to answer a request whose prompt
  contains it. No two of these requests are alike.

  # Each request crashed its targets anew, as only whole requests were quarantined.
  Scenario Outline: Different requests with one fatal part stop reaching targets
    Given 4 routers and 8 targets
    When requests with a fatal part come 4 times per second for 24 seconds <disturbance>
    Then at most 3 of them reach targets later than 3 seconds after the fifth crash
    And at least 0.5 of the sound requests with the same first part begin from then on

    Examples:
      | disturbance                               |
      | without other faults                      |
      | while other targets crash                 |
      | while the store is down                   |
      | as the first part of their prompts        |
      | with a first part that all requests have  |
      | while all routers are killed once         |

  # Routers that had never sent the part would refuse it until it is probed.
  Scenario: A part that one router has seen answered is refused nowhere
    Given 4 routers and 8 targets
    When one router sees a part answered, and targets crash under it at two others
    Then each router serves it 0.3 seconds after the last crash
