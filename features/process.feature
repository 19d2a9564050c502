Feature: The processes themselves

  Scenario: An announced address and its line's end are written at once
    When a process announces where it serves
    Then exactly one whole line was written

  Scenario Outline: A wrong setting is named, with its variable, and ends the start
    When <program> is started with <flag>
    Then it ends with exit code 2 and names <variable>

    Examples:
      | program        | flag                       | variable               |
      | ibisport       | --streams=-1               | IBISPORT_STREAMS       |
      | ibisport       | --serve=localhost:80       | IBISPORT_SERVE         |
      | ibisport-agent | --target-address=engine    | IBISPORT_TARGET_ADDRESS |
      | ibisport-agent | --nonsense=1               | IBISPORT_NONSENSE      |

  Scenario: Broken and hostile bytes on a link end only that link
    Given a listening agent
    When random frames, cut frames and a wrong secret are sent to it
    Then the agent still greets a peer that shows the right secret

  Scenario: A connection that is reset before its link is made is a closed link
    When a connection is reset between its opening and the making of its link
    Then whoever connects is told that the link is closed

  Scenario: A router is ready only once all its listeners are open
    When each listener of a router takes 0.5 s to open
    Then all of them are open once the router is ready
