Feature: Connections share the memory of their process

  Scenario: Small requests find room while large ones have filled theirs
    Given a memory budget of 16 MiB
    When workspace "a" and workspace "b" fill it with bodies of 1 MiB
    Then a request of 32 KiB of workspace "c" finds room
    And nobody has lost room

  # Small customers never feel large ones.
  Scenario: A workspace gets at most half of the room for large requests
    Given a memory budget of 16 MiB
    When workspace "a" sends 20 bodies of 1 MiB
    Then 4 of them have room
    And a body of 1 MiB of workspace "b" finds room

  Scenario: Incomplete requests give way to those of a workspace that uses less
    Given a memory budget of 16 MiB
    When workspace "a" and workspace "b" fill it with bodies of 1 MiB that stop
    And 2 seconds pass
    Then a body of 1 MiB of workspace "c" finds room
    And the oldest body has lost its room

  Scenario: Requests in progress and new ones don't give way
    Given a memory budget of 16 MiB
    When workspace "a" and workspace "b" fill it with bodies of 1 MiB
    And 2 seconds pass
    And workspace "a" and workspace "b" fill it with bodies of 1 MiB that stop
    Then a body of 1 MiB of workspace "c" finds no room

  Scenario: The budget holds whatever connections do
    When random connections take, return and wait for memory, 200 histories
    Then never more than the budget was in use
    And no workspace has lost room to one that used more
