Feature: Load reports of targets

  Scenario Outline: A report of three or four figures is read
    When a target reports its load as "<report>"
    Then it runs <running>, has <waiting> waiting, <slots> slots and a slowdown of <slowdown>

    Examples:
      | report           | running | waiting | slots | slowdown |
      | 3,1,48           | 3       | 1       | 48    | 1.0      |
      | 3,1,48,100       | 3       | 1       | 48    | 1.0      |
      | 3, 1, 48, 170    | 3       | 1       | 48    | 1.7      |
      | 0,0,48,70        | 0       | 0       | 48    | 0.7      |
      | 3,1,48,0         | 3       | 1       | 48    | 1.0      |

  Scenario Outline: A malformed report is ignored and its answer is still read
    When a target reports its load as "<report>"
    Then its load is unknown

    Examples:
      | report         |
      |                |
      | 3              |
      | 3,1            |
      | 3,1,48,100,5   |
      | 3,1,48,        |
      | 3,,48          |
      | 3,1,48,1.5     |
      | 3,1,48,-70     |
      | 3,1,x          |
      | 3,1,48,1e2     |

  Scenario: A figure that is too long to convert is ignored
    When a target reports a figure of 5000 digits
    Then its load is unknown

  Scenario: The slowdown of a stale report isn't used
    When a target reports its load as "3,1,48,170"
    Then its slowdown counts 0.15 seconds later but not 0.16 seconds later
