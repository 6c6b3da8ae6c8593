"""Counters of the traffic between processes."""

from dataclasses import dataclass


@dataclass(slots=True)
class LinkCounters:
    """Traffic over all links of a process since it started.

    Attributes:
        sent_frames: Frames written to a link.
        sent_messages: Messages in the sent frames.
        sent_bytes: Size of the sent frames, without WebSocket headers.
        received_frames: Frames read from a link.
        received_messages: Messages in the received frames.
        received_bytes: Size of the received frames.
        dropped_messages: Messages to a peer without a link, and messages
            that were queued on a link that was dropped.
        dropped_links: Links that this process aborted because the peer read
            too slowly, sent an invalid frame, was silent or was replaced.
        refused_links: Links closed because of an invalid first frame.
        closed_handshakes: Accepted links closed to make room for others before
            their peer was identified.
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
    closed_handshakes: int = 0

    def count_sent(self, messages: int, size_bytes: int) -> None:
        """Counts a frame that was written to a link.

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
        """Counts a frame that was read from a link.

        Args:
            messages: Messages in the frame.
            size_bytes: Size of the frame.
        """
        self.received_frames += 1
        self.received_messages += messages
        self.received_bytes += size_bytes
