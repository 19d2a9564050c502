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

  Scenario Outline: The rest of a request has its own deadline
    When the idle limit is 4 s, and a connection idle for <idle> s brings a request whose rest takes <seconds> s
    Then its answer on the kept connection has status <status>

    Examples:
      | idle | seconds | status |
      | 3.0  | 4.0     | 200    |
      | 0.0  | 4.0     | 200    |
      | 3.0  | 5.5     | 408    |
