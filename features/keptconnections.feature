Feature: Kept connections beside new versions of the catalogue

  Scenario Outline: A request is judged by the limits in force at its first byte
    When the limit of <part> changes from <old> to <new> bytes <moment> a request with <size> bytes of it
    Then its answer on the kept connection has status <status>

    Examples:
      | part    | old   | new   | moment | size | status |
      | bodies  | 100   | 9000  | before | 5000 | 200    |
      | bodies  | 9000  | 100   | before | 5000 | 413    |
      | bodies  | 100   | 9000  | inside | 5000 | 413    |
      | bodies  | 9000  | 100   | inside | 5000 | 200    |
      | heads   | 1000  | 9000  | before | 5000 | 200    |
      | heads   | 9000  | 1000  | before | 5000 | 431    |
      | chunks  | 100   | 9000  | before | 5000 | 200    |
      | framing | 16000 | 1000  | before | 100000 | 431   |
      | framing | 1000  | 16000 | before | 100000 | 200   |

  Scenario Outline: An idle connection stays open for callers that know any limit in force since
    When the idle limit becomes <limits> seconds while a connection that was used under the first one is idle
    Then a request on it after <idle> s finds it <state>

    Examples:
      | limits     | idle | state  |
      | 2, 10      | 8.0  | open   |
      | 2, 4, 8    | 6.4  | open   |
      | 10, 2      | 8.0  | open   |
      | 2, 10, 2   | 8.0  | open   |
      | 2, 1, 10   | 8.0  | open   |
      | 2, 2, 2    | 3.5  | closed |
      | 2, 10, 2   | 11.5 | closed |

  Scenario: A limit that is lowered beside a request holds from the next request on
    When the idle limit changes from 10 to 2 s beside a first request
    Then a request on it after 8.0 s finds it open
    And another one 3.5 s after that finds it closed

  Scenario: A lowered idle limit holds for the next wait
    When the idle limit becomes 10, 2 seconds while a connection that was used under the first one is idle
    Then a request on it after 1.0 s finds it open
    And another one 3.5 s after that finds it closed

  Scenario Outline: The rest of a request has its own deadline
    When the idle limit is 4 s, and a connection idle for <idle> s brings a request whose rest takes <seconds> s
    Then its answer on the kept connection has status <status>

    Examples:
      | idle | seconds | status |
      | 3.0  | 4.0     | 200    |
      | 0.0  | 4.0     | 200    |
      | 3.0  | 5.5     | 408    |

  Scenario Outline: A request that has arrived is answered although <moment>
    When <sent> arrives while the event loop is held up, and then <moment>
    Then all that has arrived is answered, on both kinds of event loop

    Examples:
      | sent                                 | moment                                 |
      | a first request                      | the connection's idle time is over     |
      | a request                            | the connection's idle time is over     |
      | the rest of a request                | the connection's idle time is over     |
      | a request                            | the process closes idle connections    |
      | the rest of a request                | the process closes idle connections    |
      | a request                            | the process runs out of descriptors    |
      | the rest of a request                | the process runs out of descriptors    |
      | requests sent ahead                  | the process closes idle connections    |
      | requests sent ahead                  | the process runs out of descriptors    |
      | requests sent ahead                  | the connection's idle time is over     |
      | a request behind one in many parts   | the connection's idle time is over     |

  Scenario Outline: Requests sent ahead of a refused one are answered first
    When 2 requests and <last> arrive at once
    Then the client gets 200, 200 and <status>

    Examples:
      | last                          | status |
      | bytes that are no request     | 400    |
      | a request for a new protocol  | 400    |
      | a head with a body too long   | 413    |

  Scenario Outline: A connection that the process closes while it waits is counted by reason
    When nothing arrives while the event loop is held up, and then <moment>
    Then the connection is closed, and counted once as <reason>

    Examples:
      | moment                              | reason      |
      | the connection's idle time is over  | idle        |
      | the process closes idle connections | stopping    |
      | the process runs out of descriptors | descriptors |

  Scenario Outline: An answer is cut only if its caller reads nothing for the idle limit
    When the idle limit is 2 s, and a caller <reads> of an answer of 600000 bytes
    Then its answer arrives <state>

    Examples:
      | reads                       | state    |
      | reads 100000 bytes a second | complete |
      | reads nothing for 10 s      | cut      |
