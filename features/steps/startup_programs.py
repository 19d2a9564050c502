"""Programs that a signal finds at their start; ``python -m startup_programs ACT``."""

import math
import os
import signal
import sys
import time

CPU_SECONDS = 0.3
STARTED = 'started'


def _compute():
    while time.process_time() < CPU_SECONDS:
        math.factorial(1_000)
    print(STARTED, flush=True)
    while True:
        math.factorial(1_000)


def _wait():
    print(STARTED, flush=True)
    signal.pause()


def _stop():
    print(STARTED, flush=True)
    os.kill(os.getpid(), signal.SIGSTOP)


def _fail():
    sys.exit('a fault')


ACTS = {'computes': _compute, 'waits': _wait, 'stops': _stop, 'fails': _fail}


if __name__ == '__main__':
    ACTS[sys.argv[1]]()
