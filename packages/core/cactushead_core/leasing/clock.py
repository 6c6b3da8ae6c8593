"""Estimate of an upstream's clock."""

UNKNOWN_MS = -1


class UpstreamClock:
    """Converts between the agent's clock and the upstream's.

    Explanation:
        Each answer carries the upstream's clock reading from before the
        answer arrived, so the estimate is never ahead of the upstream's
        clock, apart from the drift accumulated since.

    Examples:
        >>> clock = UpstreamClock(drift=0.02)
        >>> clock.observe(5_000, now_s=10.0)
        >>> clock.reading_ms(now_s=11.0)
        6000
    """

    def __init__(self, drift: float) -> None:
        """Initializes the estimate without a reading.

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
        """Records a reading.

        Args:
            clock_ms: The upstream's clock; `UNKNOWN_MS` is ignored.
            now_s: The agent's clock.
        """
        if clock_ms == UNKNOWN_MS:
            return
        self._clock_ms = clock_ms
        self._observed_s = now_s

    def reset(self) -> None:
        """Discards the reading when the upstream's incarnation changes."""
        self._clock_ms = UNKNOWN_MS

    def reading_ms(self, now_s: float) -> int:
        """Returns the estimated current reading of the upstream's clock.

        Args:
            now_s: The agent's clock.
        """
        return self._clock_ms + int((now_s - self._observed_s) * 1000)

    def max_duration_s(self, lease_s: float) -> float:
        """Returns the longest duration of a lease by the agent's clock.

        Args:
            lease_s: Duration of the lease by the upstream's clock, in seconds.
        """
        return lease_s * (1 + self._drift) / (1 - self._drift)
