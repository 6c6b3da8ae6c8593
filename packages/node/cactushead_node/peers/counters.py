"""Counters of the traffic between processes."""

from dataclasses import dataclass


@dataclass(slots=True)
class LinkCounters:
    """Traffic over all links of a process since it started.

    Attributes:
        sent_frames: Frames handed to a link.
        sent_messages: Messages in them.
        sent_bytes: Their size, without the web socket's own headers.
        received_frames: Frames read.
        received_messages: Messages in them.
        received_bytes: Their size.
        dropped_messages: Messages to a peer without a link, and messages
            that were queued on a link that was dropped.
        dropped_links: Links that this process ended, because the peer read
            too slowly, sent a bad frame or was replaced.
        refused_links: Links closed because of a bad first frame.
    """

    sent_frames: int = 0
    sent_messages: int = 0
    sent_bytes: int = 0
    received_frames: int = 0
    received_messages: int = 0
    received_bytes: int = 0
    dropped_messages: int = 0
    dropped_links: int = 0
    refused_links: int = 0

    def count_sent(self, messages: int, size_bytes: int) -> None:
        """Counts a frame handed to a link.

        Examples:
            >>> counters = LinkCounters()
            >>> counters.count_sent(3, 120)
            >>> counters.sent_frames, counters.sent_messages
            (1, 3)

        Args:
            messages: Messages in the frame.
            size_bytes: Size of the frame.
        """
        self.sent_frames += 1
        self.sent_messages += messages
        self.sent_bytes += size_bytes

    def count_received(self, messages: int, size_bytes: int) -> None:
        """Counts a frame that was read.

        Args:
            messages: Messages in the frame.
            size_bytes: Size of the frame.
        """
        self.received_frames += 1
        self.received_messages += messages
        self.received_bytes += size_bytes
