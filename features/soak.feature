Feature: A short soak of routers and relays as separate processes

  Scenario: Faults in series and overlapping break no promise
    When the soak plays seed 2 for 30 seconds with 3 routers
    Then no check finds anything

  Scenario: Routers that leave several at once lose no request
    When the soak plays only restarts of all routers with seed 3 for 30 seconds
    Then no check finds anything

  Scenario: Each check catches its faulty router
    When the soak plays seed 8 for 20 seconds against each mutant
    Then all mutants are caught
