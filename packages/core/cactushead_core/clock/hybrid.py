"""Hybrid logical clocks.

Explanation:
    After S. Kulkarni, M. Demirbas, D. Madappa, B. Avva and M. Leone, "Logical
    Physical Clocks", OPODIS 2014. A stamp is near the wall clock, and the
    stamp of an effect is above the stamp of its cause, however the wall
    clocks of the processes differ.

    A stamp is one integer: 48 bits of milliseconds since 1970 and a 16 bit
    counter. The paper's case distinctions become one rule, since a counter
    of 0 is what the shifted wall clock has, and adding one to a stamp counts
    it up: the next stamp is the larger of the wall clock and the largest
    stamp seen plus one. A counter that overflows, after 65,536 events in a
    millisecond, counts the milliseconds up, which keeps the order.
"""

COUNTER_BITS = 16

# A process whose clock is further ahead than this is not followed, since the
# stamps of all others would stay that far ahead until the time has come.
MAX_AHEAD_MS = 5000


def stamp_ms(stamp: int) -> int:
    """Returns the milliseconds since 1970 of a stamp.

    Examples:
        >>> stamp_ms(HybridClock().local_event(1500))
        1500
    """
    return stamp >> COUNTER_BITS


class HybridClock:
    """The clock of one process.

    Examples:
        >>> ahead, behind = HybridClock(), HybridClock()
        >>> sent = ahead.local_event(1020)
        >>> received = behind.receive(sent, 1000)
        >>> sent < received < behind.local_event(1001)
        True

    Attributes:
        refused_stamps: Remote stamps that were too far ahead to be adopted.
        largest_ahead_ms: How far the furthest of them was ahead.
    """

    __slots__ = (
        '_latest',
        '_max_ahead',
        'largest_ahead_ms',
        'refused_stamps',
    )

    def __init__(self, max_ahead_ms: int = MAX_AHEAD_MS) -> None:
        """Starts the clock.

        Args:
            max_ahead_ms: How far a remote stamp may be ahead of the wall
                clock of this process.
        """
        self._latest = 0
        self._max_ahead = max_ahead_ms << COUNTER_BITS
        self.refused_stamps = 0
        self.largest_ahead_ms = 0

    def local_event(self, wall_ms: int) -> int:
        """Returns the stamp of an event or of a message to send.

        Args:
            wall_ms: The wall clock, in milliseconds since 1970.
        """
        self._latest = max(self._latest + 1, wall_ms << COUNTER_BITS)
        return self._latest

    def receive(self, remote: int, wall_ms: int) -> int:
        """Returns the stamp of the receipt of a message.

        Explanation:
            A stamp that is too far ahead is not adopted but counted: the
            clock of its sender, or that of this process, is wrong, and the
            order between the two is given up.

        Args:
            remote: The stamp that the message carries.
            wall_ms: The wall clock, in milliseconds since 1970.
        """
        ahead = remote - (wall_ms << COUNTER_BITS)
        if ahead > self._max_ahead:
            self.refused_stamps += 1
            self.largest_ahead_ms = max(self.largest_ahead_ms, stamp_ms(ahead))
        elif remote > self._latest:
            self._latest = remote
        return self.local_event(wall_ms)
