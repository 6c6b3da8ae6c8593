"""Wires the time line and the metrics of a process."""

import logging
from collections.abc import Iterable

from cactushead_core.messages import Message
from cactushead_core.observability import ClockStamp

from ..observability import (
    Meters,
    ProcessObserver,
    Timeline,
    TimelineGatherer,
)
from ..peers import PeerLinks
from ..ports import FrameInterceptor

_log = logging.getLogger('cactushead.timeline')


class TimelineChannel(FrameInterceptor):
    """Carries clock stamps and time line queries past the reducer."""

    def __init__(self, timeline: Timeline) -> None:
        """Answers nothing until the gatherer is set.

        Args:
            timeline: The time line of this process.
        """
        self._timeline = timeline
        self._gatherer: TimelineGatherer | None = None

    def join(self, gatherer: TimelineGatherer) -> None:
        """Hands queries and pages to a gatherer.

        Args:
            gatherer: The gatherer of this process.
        """
        self._gatherer = gatherer

    def header_message(self) -> Message:
        """Returns the clock stamp of a frame that is sent now."""
        return self._timeline.make_stamp()

    def intercept(self, peer: str, message: Message) -> bool:
        """Takes a message that is not for the reducer.

        Args:
            peer: Name of the sender.
            message: Any message.

        Returns:
            Whether the message was taken.
        """
        if isinstance(message, ClockStamp):
            self._timeline.take_stamp(peer, message)
            return True
        if self._gatherer is None:
            return False
        return self._gatherer.handle(peer, message)


class Observation:
    """The time line, the metrics and their joints to the other parts.

    Attributes:
        timeline: The time line of this process.
        observer: Takes the reducer's records and measurements.
        channel: Carries stamps and queries over the links.
    """

    def __init__(self, part: str, timeline: Timeline, meters: Meters) -> None:
        """Joins the parts that need no links.

        Args:
            part: Prefix of log lines, such as `entry`.
            timeline: The time line of this process.
            meters: Takes the measurements.
        """
        self.timeline = timeline
        self.observer = ProcessObserver(part, timeline, meters)
        self.channel = TimelineChannel(timeline)

    def join(self, links: PeerLinks) -> TimelineGatherer:
        """Joins the time line with those of other processes.

        Args:
            links: Links of this process.

        Returns:
            What gathers the time lines of all processes.
        """

        def send(peer: str, message: Message) -> None:
            links.send(peer, [message])

        def list_peers() -> Iterable[str]:
            return links.connected

        gatherer = TimelineGatherer(self.timeline, send, list_peers)
        self.channel.join(gatherer)
        return gatherer
