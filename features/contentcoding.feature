Feature: Relays compress long answers for routers that accept it
  A large catalogue shrinks to a fifth of its size, which matters on a narrow link.

  Scenario Outline: Routers of an older release get uncompressed answers
    Given a relay in front of a catalogue of 1000 routes
    When a router that accepts <accepted> sends a <call> call
    Then the body as sent has <size>
    And it decodes the complete catalogue

    Examples:
      | accepted  | call  | size                          |
      | no coding | watch | its full length               |
      | no coding | list  | its full length               |
      | deflate   | watch | at most a third of its length |
      | deflate   | list  | at most a third of its length |

  Scenario Outline: A compressed body that can't be decoded is rejected
    When a compressed body of 1000000 bytes <fault>
    Then decoding it fails

    Examples:
      | fault                    |
      | is truncated             |
      | is corrupted             |
      | exceeds the maximum size |
