Feature: Calls to the store over slow and silent links
  A call times out when its answer stops arriving, not because the answer is long.

  Scenario: A long answer arrives completely over a slow link, on a single path
    Given a store whose answers reach a router at 600000 bytes per second
    When the router lists a catalogue of 1500000 bytes
    Then the listing is complete
    And the relay that the router knows received no call
    And the log states the path and the duration of the answer

  Scenario: A failed call doesn't end a concurrent long answer
    Given a store whose answers reach a router at 600000 bytes per second
    When the router lists a catalogue of 1500000 bytes and a concurrent call fails
    Then the listing is complete
    And the direct path to the store still counts as working

  Scenario: An answer that stops midway times out
    Given a store that stops in the middle of its answer
    When the router reads a key
    Then the call has failed within 1 second of the last byte
    And the log states that 1 of 1000000 bytes were received

  Scenario: An answer that trickles in times out
    Given a store that sends a byte of its answer every 0.5 seconds
    When the router reads a key
    Then the call has failed within 12 seconds of the first byte

  Scenario: A router on a slow link keeps up with a large catalogue that changes often
    Given a store whose answers reach a router at 600000 bytes per second
    When the router watches a catalogue of 450000 bytes that changes 12 times in 4 seconds
    Then it has the newest catalogue 3 seconds after the last change

  Scenario: A conflict names the conditions' keys that are absent
    Given a store whose answers reach a router at 600000 bytes per second
    When the router writes on condition of a key that was changed and of an absent key
    Then the conflict returns the changed key and names the absent key

  # Cut bytes that pass for a whole answer would drop targets, or the catalogue.
  Scenario Outline: An answer of the store that breaks off is no answer
    Given a store whose answers, <framing>, end at a later byte each time
    When the router calls "<call>" until an answer is whole
    Then each call but the last has failed

    Examples:
      | framing              | call  |
      | with a length        | read  |
      | with a length        | scan  |
      | in chunks            | watch |
      | without framing      | read  |
      | without framing      | scan  |
      | without framing      | watch |
      | without framing      | write |

  # Other errors ended the task that called the store.
  Scenario Outline: An answer of the store that can't be decoded is no answer
    Given a store that answers <content>
    When the router calls "<call>" until an answer is whole
    Then each call but the last has failed

    Examples:
      | content                       | call     |
      | with a value cut short        | read     |
      | with a value cut short        | scan     |
      | with a value cut short        | watch    |
      | with a value cut short        | conflict |
      | with a value that is no base64 | read     |
      | with a value that is no base64 | watch    |
      | nested too deeply             | read     |
      | nested too deeply             | scan     |
      | nested too deeply             | watch    |
      | nested too deeply             | write    |
      | with more pages and no items  | scan     |

  Scenario Outline: An item with <odd> hides no other item of an answer
    Given a store that has an item with <odd> beside another one
    When the router lists the items, and watches for changes of them
    Then it gets the other item both times, and nothing else that is valid

    Examples:
      | odd                            |
      | a key with half a pair         |
      | a key that is no UTF-8         |
