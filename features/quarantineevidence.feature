Feature: What crashes of targets show about the requests that ran there

  # Sound requests share nearly all of their parts with the fatal ones.
  Scenario: The part that explains most crashes is quarantined, and no other one
    When 5 targets crash under a fatal part, and a sound one runs at 3 of them
    Then only the fatal part is quarantined

  # A sound part that is refused by mistake would stay so for a day.
  Scenario: A part whose crashes another one explains is lifted
    When 3 targets crash under 2 parts, and a fourth one under only one of them
    Then only the part of all 4 crashes is quarantined

  # The first part of all prompts was refused with the fatal one (soak seed 81204).
  Scenario: Of two parts with the same crashes, the one with fewer requests is the cause
    When 3 targets crash under requests with 2 parts, of which sound ones have one
    Then only the fatal part is quarantined

  # A probe with both crashed a target, and the sound part stayed refused.
  Scenario: Parts that are quarantined together are probed one by one
    When 3 targets crash under requests that all have the same 2 parts
    Then a request with one of them may be sent once, and one with both may not

  # All parts of one request have the same crashes, and others have the parts too.
  Scenario: A repeated request is quarantined without its parts
    When 4 targets crash under one repeated request
    Then only the request is quarantined

  # A sound request that is sent again after each crash meets several of them.
  Scenario: A sound request whose crashes a part explains is lifted
    When 3 targets crash under one repeated request beside different ones with a part
    Then only the part is quarantined

  # A lost failure domain crashes many targets with the same parts at once.
  Scenario: Targets that crash at the same moment quarantine no part
    When 20 targets crash at once under different requests with a part
    Then nothing is quarantined

  # The parts that all requests have are at every crash.
  Scenario Outline: A part that was answered before needs five crashes
    When a part is answered, and <crashes> targets crash under it afterwards
    Then <quarantined> is quarantined

    Examples:
      | crashes | quarantined   |
      | 4       | nothing       |
      | 5       | only the part |

  # A part that was answered between the crashes doesn't crash targets.
  Scenario: An answer between crashes clears a part
    When 2 targets crash under a part, it is answered, and 3 more targets crash
    Then nothing is quarantined

  # Routers that have never sent a part would refuse it.
  Scenario: A router that knows an answer tells the others
    When 3 targets crash under a part that one of two routers has seen answered
    Then the other router quarantines it only until it is told

  # A probe by each of many requests would crash a target each.
  Scenario: A quarantined part is sent at most twice more
    When a part is quarantined, and each probe of it crashes a target for an hour
    Then it was sent 2 times

  # The cause could be hidden by sound parts that are suspected first.
  Scenario: A fatal part is quarantined in any company
    When any crashes of other causes and any sound requests come between its crashes
    Then a fatal part is quarantined by its fifth crash

  Scenario: What is remembered of crashes is bounded
    When 3,000 targets each crash under 20 requests with 10 parts
    Then at most 4,096 keys are suspected

  # Routers refuse longer messages, so the crash would be counted by one router only.
  Scenario: The notice of a crash under many requests is short enough for other routers
    When a target crashes under 1,200 requests with a part each
    Then its notice has 1,000 requests and is not longer than routers read
