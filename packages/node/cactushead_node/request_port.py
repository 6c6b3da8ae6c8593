"""The way from the HTTP interface to the process's reducer.

Explanation:
    This module is not in the package of the HTTP interface, because the
    runtime of every role imports it, and importing that package loads the
    HTTP server and pydantic, for which an agent has no memory.
"""

from abc import ABC, abstractmethod
from collections.abc import Callable

from cactushead_core.effects import Response
from cactushead_core.events import CallerEvent

RequestEventFactory = Callable[[float, int], CallerEvent]


class RequestPort(ABC):
    """Passes requests to the reducer and waits for its response."""

    @abstractmethod
    async def request(self, make_event: RequestEventFactory) -> Response:
        """Feeds one request's event and returns the reducer's response.

        Explanation:
            When the waiting task is cancelled, because the caller hung up,
            the reducer gets `CallerGone`.

        Args:
            make_event: Makes the event from the monotonic clock in seconds
                and the request's number.
        """


class StatusPort(ABC):
    """What the process shows of itself."""

    @abstractmethod
    def ready(self) -> bool:
        """Whether the process can serve requests now."""

    @abstractmethod
    def draining(self) -> bool:
        """Whether the process is stopping."""

    @abstractmethod
    async def timeline_json(self, query: dict[str, str]) -> bytes:
        """Returns the time line of all processes as JSON lines.

        Args:
            query: Filters: `job`, `service`, `since_s`, `until_s`, `scope`.
        """

    @abstractmethod
    def metrics_json(self) -> bytes:
        """Returns percentiles and counters as JSON."""

    @abstractmethod
    def metrics_text(self) -> bytes:
        """Returns the metrics in the text form that scrapers read."""
