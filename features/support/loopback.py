"""Addresses that no other run has, on the loopback device.

A free port that is let go may be taken before it is used, so each run has
addresses of its own instead, by its process id.
"""

import itertools
import os

# 127.x with x from 2 on: 127.0 and 127.1 are left to other programs.
FIRST_NETWORK = 2
NETWORKS = 250
_numbers = itertools.count()


def new_host():
    """Return a host of this run; after some 250 they come again."""
    pid, number = os.getpid(), next(_numbers)
    network = FIRST_NETWORK + number % NETWORKS
    return f'127.{network}.{pid // 250 % 250}.{1 + pid % 250}'
