"""Interfaces between the HTTP API and the process's reducer.

Explanation:
    This module is not in the package of the HTTP API, because the runtime of
    every role imports it, and importing that package loads the HTTP server
    and pydantic, which the memory budget of an agent does not allow.
"""

from abc import ABC, abstractmethod
from collections.abc import Callable

from cactushead_core.effects import Response
from cactushead_core.events import CallerEvent

RequestEventFactory = Callable[[float, int], CallerEvent]


class RequestPort(ABC):
    """Passes requests to the reducer and returns its responses."""

    @abstractmethod
    async def request(self, make_event: RequestEventFactory) -> Response:
        """Delivers a request to the reducer and waits for its response.

        Explanation:
            When the calling task is cancelled because the caller closed the
            connection, the reducer receives `CallerDisconnected`.

        Args:
            make_event: Creates the event from the time of the monotonic
                clock, in seconds, and the id of the request.
        """


class StatusPort(ABC):
    """Readiness, time line and metrics of the process."""

    @abstractmethod
    def ready(self) -> bool:
        """Whether the process can serve requests now."""

    @abstractmethod
    def draining(self) -> bool:
        """Whether the process is draining."""

    @abstractmethod
    async def timeline_json(self, query: dict[str, str]) -> bytes:
        """Returns the time line of all processes as JSON lines.

        Args:
            query: Filters: `job`, `service`, `since_s`, `until_s`, `scope`.
        """

    @abstractmethod
    def metrics_json(self) -> bytes:
        """Returns the metrics as JSON, with percentiles of durations."""

    @abstractmethod
    def metrics_text(self) -> bytes:
        """Returns the metrics in the Prometheus text format."""
