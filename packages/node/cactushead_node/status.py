"""What an entry shows of itself over HTTP."""

import json
from dataclasses import asdict

from cactushead_core.entry import EntryNode

from .callers import StatusPort
from .peers import LinkCounters


class EntryStatus(StatusPort):
    """State, time line and metrics of one entry."""

    def __init__(
        self,
        node: EntryNode,
        counters: LinkCounters,
        *,
        prepared: bool,
    ) -> None:
        """Shows a process that is not draining.

        Args:
            node: The entry's reducer.
            counters: Traffic to other processes.
            prepared: Whether the process is ready without further steps.
        """
        self._prepared = prepared
        self._node = node
        self._counters = counters
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
        """Returns the time line of all processes as JSON lines."""
        return b''

    def metrics_json(self) -> bytes:
        """Returns percentiles and counters as JSON."""
        shown = {
            'leader': self._node.gateway.leader,
            'links': asdict(self._counters),
        }
        return json.dumps(shown).encode()

    def metrics_text(self) -> bytes:
        """Returns the metrics in the text form that scrapers read."""
        return b''
