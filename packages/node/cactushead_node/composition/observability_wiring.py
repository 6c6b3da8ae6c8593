"""Connects the time line and the metrics with the other components."""

import logging
from collections.abc import Iterable

from cactushead_core.messages import Message
from cactushead_core.observability import ClockStamp

from ..observability import (
    MetricsRecorder,
    ProcessObserver,
    Timeline,
    TimelineGatherer,
)
from ..peers import PeerLinks
from ..ports import FrameInterceptor

_log = logging.getLogger('cactushead.timeline')


class TimelineInterceptor(FrameInterceptor):
    """Handles clock stamps and time line queries outside the reducer."""

    def __init__(self, timeline: Timeline) -> None:
        """Initializes an interceptor that handles no queries yet.

        Args:
            timeline: The time line of this process.
        """
        self._timeline = timeline
        self._gatherer: TimelineGatherer | None = None

    def attach_gatherer(self, gatherer: TimelineGatherer) -> None:
        """Enables the handling of time line queries and pages.

        Args:
            gatherer: The gatherer of this process.
        """
        self._gatherer = gatherer

    def header_message(self) -> Message:
        """Returns the clock stamp for a frame that is sent now."""
        return self._timeline.make_stamp()

    def intercept(self, peer: str, message: Message) -> bool:
        """Handles a received message unless it is for the reducer.

        Args:
            peer: Name of the sender.
            message: The received message.

        Returns:
            Whether the message was handled; if not, it is for the reducer.
        """
        if isinstance(message, ClockStamp):
            self._timeline.receive_stamp(peer, message)
            return True
        if self._gatherer is None:
            return False
        return self._gatherer.handle(peer, message)


class ObservabilityWiring:
    """The observer of a process and the interceptor of its links.

    Attributes:
        timeline: The time line of this process.
        observer: Records the events and measurements of the reducer.
        interceptor: Handles clock stamps and time line queries.
    """

    def __init__(
        self,
        part: str,
        timeline: Timeline,
        recorder: MetricsRecorder,
    ) -> None:
        """Creates the components that need no links.

        Args:
            part: Part of the process that logs the events, such as `entry`.
            timeline: The time line of this process.
            recorder: Records the measurements.
        """
        self.timeline = timeline
        self.observer = ProcessObserver(part, timeline, recorder)
        self.interceptor = TimelineInterceptor(timeline)

    def connect(self, links: PeerLinks) -> TimelineGatherer:
        """Connects the time line with those of other processes.

        Args:
            links: Links of this process.

        Returns:
            The gatherer of the time lines of all processes.
        """

        def send(peer: str, message: Message) -> None:
            links.send(peer, [message])

        def list_peers() -> Iterable[str]:
            return links.connected

        gatherer = TimelineGatherer(self.timeline, send, list_peers)
        self.interceptor.attach_gatherer(gatherer)
        return gatherer
