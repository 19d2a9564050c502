Feature: Records of other writers, and targets that start again

  Scenario: A target that starts again under its id begins anew
    Given a router's list of two targets of which one has failed and holds a prompt
    When that target is gone and starts again under its id
    Then it takes new work and nothing of its former start is known

  Scenario: A target that left doesn't come back by an old word
    Given a router's list of two targets of which one has failed and holds a prompt
    When that target drains and an older word of it is written late
    Then it takes no new work

  Scenario: What a former start wrote late doesn't replace the present one
    Given a router's list of two targets of which one has failed and holds a prompt
    When that target starts again and the former start's draining is written late
    Then it takes new work and nothing of its former start is known

  Scenario: A known target whose entry turns unreadable gets nothing more
    Given a router's list of two targets of which one has failed and holds a prompt
    When each kind of unreadable entry is written over that target's
    Then it takes no new work each time, the other does, and each is logged once
    And it takes new work once its entry can be read again

  Scenario: A listing with unreadable entries costs no other entry its place
    Given a router's list of two targets of which one has failed and holds a prompt
    When a listing comes in which that target's entry is unreadable
    Then it takes no new work
    And the other target still does

  Scenario: Whatever stands in the store is read or refused
    When 200 generated contents are read as each kind of record
    Then each is read or refused as a record

  Scenario: A loan of a negative number of tokens is refused
    Given a router that lends
    When loans of absurd numbers of tokens are asked for
    Then nothing was lent and the asker knows that nobody answered

  Scenario Outline: A settings file that can't be meant is refused as a whole
    Given a settings file with <wrong>
    When it is read
    Then it is refused, and the reason is told

    Examples:
      | wrong                          |
      | a grace time of -1             |
      | a grace time of nan            |
      | a grace time of inf            |
      | a retry window of -0.5         |
      | tables nested 5000 deep        |
      | a grace time that is text      |
