"""What an entry shows of itself over HTTP."""

from dataclasses import dataclass

from cactushead_core.entry import EntryNode

from .callers import StatusPort
from .observability.reports import Reports


@dataclass(frozen=True, slots=True)
class EntryState:
    """The state of an entry among its metrics.

    Attributes:
        leads: 1 if the entry leads its cell, else 0.
        ready: 1 if it can serve requests now, else 0.
        votes: 1 if its disk counts in majorities, else 0.
    """

    leads: int
    ready: int
    votes: int


class EntryStatus(StatusPort):
    """State, time line and metrics of one entry."""

    def __init__(
        self,
        node: EntryNode,
        reports: Reports,
        *,
        prepared: bool,
    ) -> None:
        """Shows a process that is not draining.

        Args:
            node: The entry's reducer.
            reports: Time line and metrics.
            prepared: Whether the process is ready without further steps.
        """
        self._node = node
        self._reports = reports
        self._prepared = prepared
        self._draining = False

    def ready(self) -> bool:
        """Whether the process can serve requests now."""
        return self._prepared and self._node.ready

    def draining(self) -> bool:
        """Whether the process is stopping."""
        return self._draining

    def end_preparation(self) -> None:
        """Notes that the steps before the first request are done."""
        self._prepared = True

    def begin_drain(self) -> None:
        """Notes that the process is stopping."""
        self._draining = True

    async def timeline_json(self, query: dict[str, str]) -> bytes:
        """Returns the time line of all processes as JSON lines.

        Args:
            query: Checked filters.
        """
        return await self._reports.timeline_json(query)

    def metrics_json(self) -> bytes:
        """Returns percentiles and counters as JSON."""
        return self._reports.metrics_json()

    def metrics_text(self) -> bytes:
        """Returns the metrics in the text form that scrapers read."""
        return self._reports.metrics_text()


def read_state(node: EntryNode) -> EntryState:
    """Returns the state of an entry.

    Args:
        node: The entry's reducer.
    """
    return EntryState(
        leads=int(node.leader is not None),
        ready=int(node.ready),
        votes=int(node.votes),
    )
