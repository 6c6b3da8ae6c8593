"""Joins the HTTP interface with the runtime.

Explanation:
    Apart from the runtime, which an agent runs too: an agent must not load
    the HTTP interface.
"""

from cactushead_core.effects import Response

from .callers import MakeEvent, RequestPort
from .runtime import Runtime


class RuntimeRequests(RequestPort):
    """Passes requests to the runtime's reducer."""

    def __init__(self, runtime: Runtime) -> None:
        """Keeps the runtime.

        Args:
            runtime: The runtime.
        """
        self._runtime = runtime

    async def request(self, make_event: MakeEvent) -> Response:
        """Feeds one request's event and returns the reducer's response.

        Args:
            make_event: Makes the event from the monotonic clock in seconds
                and the request's number.

        Returns:
            The response.
        """
        return await self._runtime.request(make_event)
