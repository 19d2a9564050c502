Feature: Invalid records in the store, and targets that restart

  Scenario: A target that restarts under its id keeps no history
    Given a router's list of two targets, one with a failure and a cached prompt
    When that target is removed and restarts under its id
    Then it gets new requests and nothing of its former start is known

  Scenario: A late write of an older state does not restore a draining target
    Given a router's list of two targets, one with a failure and a cached prompt
    When that target drains and an older state of it is written late
    Then it gets no new requests

  Scenario: A late write of a former start does not replace the current entry
    Given a router's list of two targets, one with a failure and a cached prompt
    When that target restarts and the former start's draining is written late
    Then it gets new requests and nothing of its former start is known

  Scenario: A known target whose entry becomes invalid gets no more requests
    Given a router's list of two targets, one with a failure and a cached prompt
    When each kind of invalid entry replaces that target's entry
    Then it gets no new requests each time, the other does, and each entry is logged once
    And it gets new requests once its entry is valid again

  Scenario Outline: A target whose entry became invalid is not used again after <event>
    Given a router's list of two targets, one with a failure and a cached prompt
    When that target's entry becomes invalid, and its first start is written late after <event>
    Then it gets no new requests

    Examples:
      | event         |
      | a removal     |
      | a later start |

  Scenario: An invalid entry in a listing does not affect other entries
    Given a router's list of two targets, one with a failure and a cached prompt
    When a listing arrives in which that target's entry is invalid
    Then it gets no new requests
    And the other target still does

  Scenario Outline: An invalid entry that was gone is logged again
    Given a router's list of two targets, one with a failure and a cached prompt
    When an invalid entry comes, is missing from <where>, and comes again
    Then its refusal is logged both times

    Examples:
      | where     |
      | a change  |
      | a listing |

  Scenario: Any content in the store is decoded or rejected
    When 200 generated contents are decoded as each kind of record
    Then each is decoded or rejected as invalid

  Scenario: A loan of a negative number of tokens is refused
    Given a router that lends
    When loans of out-of-range numbers of tokens are requested
    Then nothing was lent and the borrower got no answer

  Scenario Outline: Only the optional parts that are named are in use
    When the list of optional parts is "<text>"
    Then the parts <parts> are in use

    Examples:
      | text              | parts              |
      |                   | none               |
      | standby           | standby            |
      | pace , standby,   | pace and standby   |

  Scenario: An unknown optional part stops the start
    When the list of optional parts is "standby,stand_by"
    Then the list is refused, and the reason names the part

  Scenario Outline: An invalid settings file is rejected as a whole
    Given a settings file with <error>
    When it is read
    Then it is refused, and the reason is told

    Examples:
      | error                          |
      | a grace time of -1             |
      | a grace time of nan            |
      | a grace time of inf            |
      | a retry window of -0.5         |
      | tables nested 5000 deep        |
      | a grace time that is text      |
