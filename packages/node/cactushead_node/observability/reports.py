"""Encodes the time line and the metrics for the HTTP API of an entry."""

from collections.abc import Callable

import trio
from cactushead_core.observability import TimelineEvent

from .gather import TimelineGatherer
from .metrics import Metrics
from .timeline import Timeline, event_json_line, make_filter

PROCESS_SCOPE = 'process'
# While a long time line is encoded, other tasks of the process run at a
# checkpoint after this many lines.
LINES_PER_CHECKPOINT = 500

FindRelay = Callable[[], str]
"""Returns the voter that relays queries; empty if all peers are connected."""


class Reports:
    """Encodes the time line and the metrics as bodies of HTTP responses."""

    def __init__(
        self,
        timeline: Timeline,
        metrics: Metrics,
        gatherer: TimelineGatherer,
        find_relay: FindRelay,
    ) -> None:
        """Initializes the reports.

        Args:
            timeline: The time line of this process.
            metrics: The metrics of this process.
            gatherer: Queries the other processes.
            find_relay: Returns the voter that relays queries.
        """
        self._timeline = timeline
        self._metrics = metrics
        self._gatherer = gatherer
        self._find_relay = find_relay

    async def timeline_json(self, query: dict[str, str]) -> bytes:
        """Returns the time line as JSON lines.

        Args:
            query: Validated filters: `job`, `service`, `since_s`, `until_s`,
                and `scope`, which is `process` or `cell`.
        """
        event_filter = make_filter(query)
        if query.get('scope') == PROCESS_SCOPE:
            return await encode_lines(self._timeline.select(event_filter))
        relay_peer = self._find_relay()
        return await encode_lines(
            await self._gatherer.gather(event_filter, relay_peer=relay_peer),
        )

    def metrics_json(self) -> bytes:
        """Returns the metrics as JSON, with percentiles of durations."""
        return self._metrics.to_json()

    def metrics_text(self) -> bytes:
        """Returns the metrics in the Prometheus text format."""
        return self._metrics.to_text()


async def encode_lines(events: list[TimelineEvent]) -> bytes:
    """Returns events as JSON lines.

    Args:
        events: The events, in output order.
    """
    lines: list[bytes] = []
    for event in events:
        lines.append(event_json_line(event))
        if len(lines) % LINES_PER_CHECKPOINT == 0:
            await trio.lowlevel.checkpoint()
    return b''.join(lines)
