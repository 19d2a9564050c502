Feature: A network in memory for tests in virtual time

  Scenario: Bytes take the delay and the rate of their link
    Given a link with a delay of 0.5 s and 1000 bytes a second
    When 2000 bytes are sent over it and the connection is closed
    Then they are whole 3 s after the call to connect, and then the end comes

  Scenario: A slow reader makes the sender wait
    Given a link that holds 4096 bytes
    When 200000 bytes are sent to a reader that reads nothing for 5 s
    Then the sender was made to wait, and the reader got all

  Scenario: A process that ends takes with it what the system has not
    Given a link that holds 4096 bytes
    When a process writes 200000 bytes and ends before the reader reads
    Then the reader gets 4096 bytes and the end

  Scenario: Closing with unread bytes resets the peer
    When a process closes a connection whose bytes it hasn't read
    Then the peer sees a reset

  Scenario: A closed listener refuses, and what stands is kept
    When a listener with one connection is closed
    Then the connection still carries bytes, and a new one is refused
