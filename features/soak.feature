Feature: A short soak test of routers and relays as separate processes

  Scenario: Sequential and overlapping faults violate no check
    When the soak runs seed 2 for 30 seconds with 3 routers
    Then no check finds a violation

  Scenario: Routers that restart at the same time lose no request
    When the soak only restarts all routers, with seed 3 for 30 seconds
    Then no check finds a violation

  # A kept connection had the limits of an older version, so that what the newest one
  # allows was refused.
  Scenario: Versions that change limits, routes, shares and keys violate no check
    When the soak only injects publish, with seed 1 for 30 seconds
    Then no check finds a violation

  # An entry out of range ended all requests of its service without an answer.
  Scenario: Odd entries among those of targets violate no check
    When the soak only injects misregister, with seed 1 for 30 seconds
    Then no check finds a violation

  Scenario: Requests with a fatal prompt part stop reaching targets
    When the soak sends requests with a fatal part, with seed 1 for 25 seconds
    Then no check finds a violation

  # Continued streams must not lose, double or mix up events.
  Scenario: Streams that continue at copies violate no check
    When the soak breaks answers with copies and hedging, with seed 2 for 30 seconds
    Then no check finds a violation
    And streams have continued

  # What routers knew of versions ended with them.
  Scenario: Streams of one version go on after all routers are killed at once
    When the soak only kills all processes beside one version, with seed 4
    Then no check finds a violation

  Scenario: A crowd that finishes no request beside other faults violates no check
    When the soak runs seed 9001 for 20 seconds beside a crowd
    Then no check finds a violation
    And the crowd has come

  Scenario: Each check catches its mutant
    When the soak runs seed 8 for 20 seconds with each mutant
    Then each mutant is caught by its check

  # A fault that failed was only logged, so a run without it looked calm.
  Scenario: A fault that fails ends the run
    When the soak reloads a router of a site without routers
    Then the run ends with the error of the fault
