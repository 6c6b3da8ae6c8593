"""An upstream's clock, as its agent knows it."""

UNKNOWN_MS = -1


class UpstreamClock:
    """Converts between the agent's clock and the upstream's.

    Explanation:
        Each answer carries the upstream's clock at some moment before its
        arrival, so the reading made of it is never ahead of the upstream,
        but for the drift since.

    Examples:
        >>> clock = UpstreamClock(drift=0.02)
        >>> clock.observe(5_000, now_s=10.0)
        >>> clock.reading_ms(now_s=11.0)
        6000
    """

    def __init__(self, drift: float) -> None:
        """Starts without a reading.

        Args:
            drift: Largest relative error of the upstream's clock.
        """
        self._drift = drift
        self._clock_ms = UNKNOWN_MS
        self._observed_s = 0.0

    @property
    def known(self) -> bool:
        """Whether there is a reading."""
        return self._clock_ms != UNKNOWN_MS

    def observe(self, clock_ms: int, now_s: float) -> None:
        """Takes a reading.

        Args:
            clock_ms: The upstream's clock; `UNKNOWN_MS` is passed over.
            now_s: The agent's clock.
        """
        if clock_ms == UNKNOWN_MS:
            return
        self._clock_ms = clock_ms
        self._observed_s = now_s

    def reset(self) -> None:
        """Drops the reading, since the upstream's life is over."""
        self._clock_ms = UNKNOWN_MS

    def reading_ms(self, now_s: float) -> int:
        """Returns the upstream's clock now, as far as it is known.

        Args:
            now_s: The agent's clock.
        """
        return self._clock_ms + int((now_s - self._observed_s) * 1000)

    def max_duration_s(self, lease_s: float) -> float:
        """Returns how long a lease can last by the agent's clock.

        Args:
            lease_s: The lease by the upstream's clock, in seconds.
        """
        return lease_s * (1 + self._drift) / (1 - self._drift)
