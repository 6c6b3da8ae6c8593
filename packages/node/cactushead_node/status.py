"""Status of an entry, as its HTTP API reports it."""

from dataclasses import dataclass

from cactushead_core.entry import EntryNode

from .callers import StatusPort
from .observability.reports import Reports


@dataclass(frozen=True, slots=True)
class EntryState:
    """State of an entry, exported as gauges.

    Attributes:
        leads: 1 if the entry is the leader of its cell, else 0.
        ready: 1 if it can serve requests now, else 0.
        votes: 1 if its disk counts towards the quorum, else 0.
    """

    leads: int
    ready: int
    votes: int


class EntryStatus(StatusPort):
    """Readiness, time line and metrics of one entry."""

    def __init__(
        self,
        node: EntryNode,
        reports: Reports,
        *,
        prepared: bool,
    ) -> None:
        """Initializes the status of an entry that is not draining.

        Args:
            node: The entry's reducer.
            reports: Encodes the time line and the metrics.
            prepared: Whether the entry needs no preparation to be ready.
        """
        self._node = node
        self._reports = reports
        self._prepared = prepared
        self._draining = False

    def ready(self) -> bool:
        """Whether the process can serve requests now."""
        return self._prepared and self._node.ready

    def draining(self) -> bool:
        """Whether the process is draining."""
        return self._draining

    def mark_prepared(self) -> None:
        """Marks the preparation for the first request as completed."""
        self._prepared = True

    def mark_draining(self) -> None:
        """Marks the process as draining."""
        self._draining = True

    async def timeline_json(self, query: dict[str, str]) -> bytes:
        """Returns the time line of all processes as JSON lines.

        Args:
            query: Validated filters.
        """
        return await self._reports.timeline_json(query)

    def metrics_json(self) -> bytes:
        """Returns the metrics as JSON, with percentiles of durations."""
        return self._reports.metrics_json()

    def metrics_text(self) -> bytes:
        """Returns the metrics in the Prometheus text format."""
        return self._reports.metrics_text()


def read_state(node: EntryNode) -> EntryState:
    """Returns the state of an entry for its metrics.

    Args:
        node: The entry's reducer.
    """
    return EntryState(
        leads=int(node.leader is not None),
        ready=int(node.ready),
        votes=int(node.votes),
    )
