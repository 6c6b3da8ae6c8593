"""What the runtime needs from the parts around it."""

from abc import ABC, abstractmethod
from collections.abc import Callable, Sequence

from cactushead_core.effects import Count, Measure, Record, StartRun, StopRun
from cactushead_core.events import Event
from cactushead_core.messages import Message

EventFactory = Callable[[float], Event]
"""Makes an event from the monotonic clock, in seconds.

Explanation:
    An event gets its time when the reducer takes it. A process that was
    frozen while an event waited so never decides by an old clock.
"""

DeliverEvent = Callable[[EventFactory], None]
Clock = Callable[[], float]


class MessageTransport(ABC):
    """Sends messages to peers."""

    @abstractmethod
    def send(self, peer: str, messages: Sequence[Message]) -> None:
        """Queues messages for a peer as one frame; never waits.

        Args:
            peer: Name of the peer; without a link the messages are dropped.
            messages: The messages, in order.
        """


class FrameInterceptor(ABC):
    """Messages over the links that are not for the reducer."""

    @abstractmethod
    def header_message(self) -> Message:
        """Returns the message that goes ahead in each frame."""

    @abstractmethod
    def intercept(self, peer: str, message: Message) -> bool:
        """Takes a message that is not for the reducer.

        Args:
            peer: Name of the sender.
            message: Any message.

        Returns:
            Whether the message was taken.
        """


class UpstreamPort(ABC):
    """Starts and stops tasks at the agent's upstream."""

    @abstractmethod
    def start(self, effect: StartRun) -> None:
        """Starts a task; its end is delivered as `RunEnded`.

        Args:
            effect: The task.
        """

    @abstractmethod
    def stop(self, effect: StopRun) -> None:
        """Stops a task; the answer is delivered as `StopEnded`.

        Args:
            effect: The task.
        """


class Observer(ABC):
    """Keeps the process's time line and metrics."""

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
    """Keeps nothing."""

    def record(self, effect: Record) -> None:
        """Drops the event."""

    def measure(self, effect: Measure) -> None:
        """Drops the duration."""

    def count(self, effect: Count) -> None:
        """Drops the count."""
