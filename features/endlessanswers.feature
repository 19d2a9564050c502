Feature: Answers without an end

  # A target in trouble filled a router's memory, or took its time from all callers.
  Scenario Outline: Bytes that are no answer are given up
    When a target sends <bytes> without end
    Then the request fails after at most <size> MiB, in at most 4 MiB of memory

    Examples:
      | bytes             | size |
      | one header        | 1    |
      | headers           | 1    |
      | trailers          | 1    |
      | interim answers   | 1    |
      | a status line     | 1    |
      | a chunk extension | 1    |
      | no HTTP           | 1    |

  # Each part was searched again with all parts before it, for minutes.
  Scenario: An event without end is given up
    When a stream brings an event of 64 MiB in parts of 4 KiB
    Then it fails after at most 2 MiB

  Scenario: Many small chunks are no bytes without end
    When a target sends 40,000 chunks of one byte
    Then the request gets its answer of 40,000 bytes

  # Up to 512 KiB were kept until the connection was due for reuse.
  Scenario: Bytes without end on an idle connection close it
    When a target goes on sending after its answer
    Then the idle connection is closed, and not used again

  # The limits of heads were checked only for headers that had ended.
  Scenario Outline: A request without an end is refused
    When a caller or another router sends <bytes> without end
    Then the request is refused after at most 1 MiB

    Examples:
      | bytes                |
      | one header           |
      | a path               |
      | a chunk extension    |
      | trailers             |
