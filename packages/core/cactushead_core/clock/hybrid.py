"""Hybrid logical clocks.

Explanation:
    Implements S. Kulkarni, M. Demirbas, D. Madappa, B. Avva and M. Leone,
    "Logical Physical Clocks", OPODIS 2014. A stamp is close to the wall clock,
    and the stamp of an effect is greater than the stamp of its cause, however
    the wall clocks of the processes differ.

    A stamp is one integer: 48 bits of milliseconds since 1970 and a 16 bit
    counter. The case distinctions of the paper reduce to one rule: the next
    stamp is the maximum of the shifted wall clock, whose counter is 0, and
    the largest known stamp plus one, which increments the counter. When the
    counter overflows, after 65,536 events in a millisecond, the carry
    increments the milliseconds, which keeps the order.
"""

COUNTER_BITS = 16

# A remote stamp that is further ahead of the local wall clock is not adopted:
# otherwise the stamps of all processes would stay that far ahead until their
# wall clocks reach it.
MAX_AHEAD_MS = 5000


def stamp_ms(stamp: int) -> int:
    """Returns the milliseconds since 1970 of a stamp.

    Examples:
        >>> stamp_ms(HybridClock().local_event(1500))
        1500
    """
    return stamp >> COUNTER_BITS


class HybridClock:
    """The hybrid logical clock of one process.

    Examples:
        >>> ahead, behind = HybridClock(), HybridClock()
        >>> sent = ahead.local_event(1020)
        >>> received = behind.receive(sent, 1000)
        >>> sent < received < behind.local_event(1001)
        True

    Attributes:
        refused_stamps: Remote stamps that were too far ahead to be adopted.
        largest_ahead_ms: Largest lead of such a stamp over the wall clock.
    """

    __slots__ = (
        '_latest',
        '_max_ahead',
        'largest_ahead_ms',
        'refused_stamps',
    )

    def __init__(self, max_ahead_ms: int = MAX_AHEAD_MS) -> None:
        """Creates a clock.

        Args:
            max_ahead_ms: Largest lead of a remote stamp over the wall clock
                of this process at which the stamp is adopted.
        """
        self._latest = 0
        self._max_ahead = max_ahead_ms << COUNTER_BITS
        self.refused_stamps = 0
        self.largest_ahead_ms = 0

    def local_event(self, wall_ms: int) -> int:
        """Returns the stamp of a local event or of a message to send.

        Args:
            wall_ms: The wall clock, in milliseconds since 1970.
        """
        self._latest = max(self._latest + 1, wall_ms << COUNTER_BITS)
        return self._latest

    def receive(self, remote: int, wall_ms: int) -> int:
        """Returns the stamp of the receipt of a message.

        Explanation:
            A stamp that is too far ahead is counted and not adopted: the
            clock of its sender, or that of this process, is wrong. The
            order of events between the two is then not guaranteed.

        Args:
            remote: The stamp in the message.
            wall_ms: The wall clock, in milliseconds since 1970.
        """
        ahead = remote - (wall_ms << COUNTER_BITS)
        if ahead > self._max_ahead:
            self.refused_stamps += 1
            self.largest_ahead_ms = max(self.largest_ahead_ms, stamp_ms(ahead))
        elif remote > self._latest:
            self._latest = remote
        return self.local_event(wall_ms)
