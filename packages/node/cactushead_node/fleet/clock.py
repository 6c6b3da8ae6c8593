"""Clock of the fleet's processes."""

import time


def boot_time_s() -> float:
    """Returns the time since the instance booted, in seconds.

    Explanation:
        Unlike the monotonic clock, it advances while the instance is
        suspended, so a resumed process detects that its leases have
        expired.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
