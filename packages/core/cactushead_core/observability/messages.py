"""Messages that collect the time lines of all processes."""

from dataclasses import dataclass

from ..messages.base import Message, wire_type
from .model import TimelineEvent, TimelineFilter


@wire_type(100)
@dataclass(frozen=True, slots=True)
class ClockStamp(Message):
    """The sender's hybrid logical time stamp, the first message of a frame.

    Attributes:
        stamp: The time stamp.
    """

    stamp: int


@wire_type(101)
@dataclass(frozen=True, slots=True)
class TimelineQuery(Message):
    """A process requests a page of events.

    Explanation:
        Not every process has a link to every other one, but every process
        has links to the voters. A process without links to all others has a
        voter relay its query; the voter relays the pages back.

    Attributes:
        origin: Name of the requesting process.
        query_id: Number of the query, unique within the origin.
        target: Name of the process whose events are requested.
        relay: Whether the target relays the query to all processes that it
            has links to.
        after_sequence: Number of the last event that the origin has
            received.
        wanted: Filter of the events.
    """

    origin: str
    query_id: int
    target: str
    relay: bool
    after_sequence: int
    wanted: TimelineFilter


@wire_type(102)
@dataclass(frozen=True, slots=True)
class TimelineEvents(Message):
    """One page of a process's events.

    Attributes:
        origin: Name of the process that requested the events.
        query_id: Number of the query, unique within the origin.
        process: Name of the process whose events these are.
        events: The events, oldest first.
        complete: Whether this is the last page.
        relayed_to: Names of the processes that the query was relayed to.
    """

    origin: str
    query_id: int
    process: str
    events: tuple[TimelineEvent, ...]
    complete: bool
    relayed_to: tuple[str, ...]
