"""The clock of a fleet's processes."""

import time


def boot_time_s() -> float:
    """Returns the time since the instance started, in seconds.

    Explanation:
        Unlike the monotonic clock it goes on while the instance is
        suspended, so a process that was frozen sees that its leases are
        over.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
