Feature: An in-memory network for tests in virtual time

  Scenario: Delay and rate of a link determine when bytes arrive
    Given a link with a delay of 0.5 s and 1000 bytes per second
    When 2000 bytes are sent over it and the connection is closed
    Then they arrive completely 3 s after the call to connect, followed by the end

  Scenario: A slow reader makes the sender wait
    Given a link that buffers 4096 bytes
    When 200000 bytes are sent to a reader that pauses for 5 s
    Then the sender had to wait and the reader receives all bytes

  Scenario: Bytes that the operating system hasn't taken are lost when a process exits
    Given a link that buffers 4096 bytes
    When a process writes 200000 bytes and exits before the reader reads
    Then the reader receives 4096 bytes and the end of the stream

  Scenario: Closing a connection with unread bytes resets the peer
    When a process closes a connection with unread bytes
    Then the peer sees a reset

  Scenario: A closed listener refuses new connections and keeps open ones
    When a listener with one connection is closed
    Then the connection still works and a new one is refused
