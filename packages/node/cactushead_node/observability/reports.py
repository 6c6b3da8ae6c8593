"""What an entry shows of its time line and metrics."""

from collections.abc import Callable

import trio
from cactushead_core.observability import TimelineEvent

from .gather import TimelineGatherer
from .metrics import Metrics
from .timeline import Timeline, event_line, make_filter

PROCESS_SCOPE = 'process'
# Writing a long time line takes turns with the process's other work.
LINES_PER_TURN = 500

FindRelay = Callable[[], str]
"""Names the voter that passes queries on; empty when there are links to all."""


class Reports:
    """Makes the bodies of the HTTP interface."""

    def __init__(
        self,
        timeline: Timeline,
        metrics: Metrics,
        gatherer: TimelineGatherer,
        find_relay: FindRelay,
    ) -> None:
        """Joins the parts.

        Args:
            timeline: The time line of this process.
            metrics: The metrics of this process.
            gatherer: Asks the other processes.
            find_relay: Names the voter that passes queries on.
        """
        self._timeline = timeline
        self._metrics = metrics
        self._gatherer = gatherer
        self._find_relay = find_relay

    async def timeline_json(self, query: dict[str, str]) -> bytes:
        """Returns the time line as JSON lines.

        Args:
            query: Checked filters: `job`, `service`, `since_s`, `until_s`,
                and `scope`, which is `process` or `cell`.
        """
        wanted = make_filter(query)
        if query.get('scope') == PROCESS_SCOPE:
            return await write_lines(self._timeline.select(wanted))
        relay_by = self._find_relay()
        return await write_lines(
            await self._gatherer.gather(wanted, relay_by=relay_by),
        )

    def metrics_json(self) -> bytes:
        """Returns percentiles and counters as JSON."""
        return self._metrics.to_json()

    def metrics_text(self) -> bytes:
        """Returns the metrics in the text form that scrapers read."""
        return self._metrics.to_text()


async def write_lines(events: list[TimelineEvent]) -> bytes:
    """Returns events as JSON lines.

    Args:
        events: The events, in the order of the lines.
    """
    lines: list[bytes] = []
    for event in events:
        lines.append(event_line(event))
        if len(lines) % LINES_PER_TURN == 0:
            await trio.lowlevel.checkpoint()
    return b''.join(lines)
