"""Messages that gather the time line."""

from dataclasses import dataclass

from ..messages.base import Message, wire_type
from .model import TimelineEvent, TimelineFilter


@wire_type(100)
@dataclass(frozen=True, slots=True)
class ClockStamp(Message):
    """The sender's hybrid logical stamp; the first message of a frame.

    Attributes:
        stamp: The stamp.
    """

    stamp: int


@wire_type(101)
@dataclass(frozen=True, slots=True)
class TimelineQuery(Message):
    """A process asks for a page of events.

    Explanation:
        Not every process has a link to every other one, but every process
        has links to the voters. A process without all links asks a voter to
        pass its query on, and the voter passes the pages back.

    Attributes:
        origin: Name of the process that asks.
        query_id: Number of the query within the origin.
        target: Name of the process whose events are wanted.
        relay: Whether the target passes the query on to all processes that
            it has links to.
        after_sequence: Number of the last event that the origin has.
        wanted: Which events are wanted.
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
        origin: Name of the process that asked.
        query_id: Number of the query within the origin.
        process: Name of the process whose events these are.
        events: The events, oldest first.
        complete: Whether there are no more events that are wanted.
        relayed_to: Names of the processes that the query was passed on to.
    """

    origin: str
    query_id: int
    process: str
    events: tuple[TimelineEvent, ...]
    complete: bool
    relayed_to: tuple[str, ...]
