"""Interfaces between the runtime and the components around it."""

from abc import ABC, abstractmethod
from collections.abc import Callable, Sequence

from cactushead_core.effects import Count, Measure, Record, StartRun, StopRun
from cactushead_core.events import Event
from cactushead_core.messages import Message

EventFactory = Callable[[float], Event]
"""Creates an event from the time of the monotonic clock, in seconds.

Explanation:
    An event gets its time when the reducer processes it. Thus a process that
    was suspended while an event was queued does not decide by an outdated
    time.
"""

DeliverEvent = Callable[[EventFactory], None]
Clock = Callable[[], float]


class MessageTransport(ABC):
    """Sends messages to peers."""

    @abstractmethod
    def send(self, peer: str, messages: Sequence[Message]) -> None:
        """Queues messages for a peer as one frame, without blocking.

        Args:
            peer: Name of the peer; messages are dropped if it has no link.
            messages: The messages, in order.
        """


class FrameInterceptor(ABC):
    """Handles messages of the links that do not go to the reducer."""

    @abstractmethod
    def header_message(self) -> Message:
        """Returns the message to put at the start of each sent frame."""

    @abstractmethod
    def intercept(self, peer: str, message: Message) -> bool:
        """Handles a received message unless it is for the reducer.

        Args:
            peer: Name of the sender.
            message: The received message.

        Returns:
            Whether the message was handled; if not, it is for the reducer.
        """


class UpstreamPort(ABC):
    """Starts and stops tasks at the agent's upstream."""

    @abstractmethod
    def start(self, effect: StartRun) -> None:
        """Starts a task; its outcome is delivered as `RunEnded`.

        Args:
            effect: The task to start.
        """

    @abstractmethod
    def stop(self, effect: StopRun) -> None:
        """Stops a task; the result is delivered as `StopEnded`.

        Args:
            effect: The task to stop.
        """


class Observer(ABC):
    """Records the time line and the metrics of the process."""

    @abstractmethod
    def record(self, effect: Record) -> None:
        """Adds an event to the time line."""

    @abstractmethod
    def measure(self, effect: Measure) -> None:
        """Adds a duration to a histogram."""

    @abstractmethod
    def count(self, effect: Count) -> None:
        """Adds to a counter."""


class NullObserver(Observer):
    """Discards all events and measurements."""

    def record(self, effect: Record) -> None:
        """Discards the event."""

    def measure(self, effect: Measure) -> None:
        """Discards the duration."""

    def count(self, effect: Count) -> None:
        """Discards the count."""
