Feature: Calls to the store over slow and silent links
  What bounds a call is the silence of its answer, not the answer's length.

  Scenario: A long answer comes whole over a slow link, and on one way
    Given a store whose answers come to a router at 600000 bytes a second
    When the router lists a catalogue of 1500000 bytes
    Then the listing is whole
    And the relay that the router knows was asked nothing
    And the log tells by which way it came, and how long it took

  Scenario: A call that fails beside a long answer doesn't end it
    Given a store whose answers come to a router at 600000 bytes a second
    When the router lists a catalogue of 1500000 bytes, and a call beside it fails
    Then the listing is whole
    And the straight way to the store still counts as working

  Scenario: An answer that stops midway is given up
    Given a store that stops in the middle of its answer
    When the router reads a key
    Then the call has failed within 1 second of the last byte
    And the log tells that 1 of 1000000 bytes had come

  Scenario: An answer that trickles is given up
    Given a store that sends a byte of its answer each 0.5 seconds
    When the router reads a key
    Then the call has failed within 12 seconds of the first byte

  Scenario: A router on a slow link keeps up with a large catalogue that changes often
    Given a store whose answers come to a router at 600000 bytes a second
    When the router follows a catalogue of 450000 bytes that changes 12 times in 4 seconds
    Then it has the newest catalogue 3 seconds after the last change

  Scenario: A conflict tells which of the conditions' keys are absent
    Given a store whose answers come to a router at 600000 bytes a second
    When the router writes on condition of a key that was changed and of one that is absent
    Then the conflict brings the changed key and names the absent one
