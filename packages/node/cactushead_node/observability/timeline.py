"""The time line of one process."""

import heapq
import itertools
import json
import logging
import time
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace
from operator import attrgetter

from cactushead_core.clock import COUNTER_BITS, HybridClock, stamp_ms
from cactushead_core.effects import Record
from cactushead_core.observability import (
    ClockStamp,
    TimelineEvent,
    TimelineEvents,
    TimelineFilter,
    TimelineQuery,
)

PAGE_EVENTS = 500
ENTRY_JOB_EVENTS = 20_000
AGENT_JOB_EVENTS = 2000
CELL_EVENTS = 1000
LONGEST_DETAIL = 200
WARNING_GAP_S = 60.0
MS_PER_S = 1000

LOGGER = logging.getLogger('cactushead.timeline')

WallClock = Callable[[], float]


@dataclass(frozen=True, slots=True)
class _Entry:
    """A recorded event; most are dropped before anyone asks for them."""

    sequence: int
    stamp: int
    wall_s: float
    effect: Record


class Timeline:
    """The latest events of one process, and its hybrid logical clock.

    Explanation:
        Events of jobs and tasks come by the thousand, while those of
        leaders, leases and documents are rare and tell more of a fault. Each
        sort has a ring of its own, so that a burst of jobs drops none of the
        rare ones.

    Examples:
        >>> timeline = Timeline('entry-1', job_events=2)
        >>> for index in range(3):
        ...     timeline.record(Record('task started', task_index=index))
        >>> [event.task_index for event in timeline.select(TimelineFilter())]
        [0, 1, 2]
    """

    def __init__(
        self,
        process: str,
        *,
        job_events: int = ENTRY_JOB_EVENTS,
        cell_events: int = CELL_EVENTS,
        wall_clock: WallClock = time.time,
    ) -> None:
        """Starts an empty time line.

        Args:
            process: Name of the process.
            job_events: Events of jobs and tasks to keep.
            cell_events: Other events to keep.
            wall_clock: Gives the seconds since 1970.
        """
        self._process = process
        self._job_events: deque[_Entry] = deque(maxlen=job_events)
        self._cell_events: deque[_Entry] = deque(maxlen=cell_events)
        self._sequence = 0
        self._clock = HybridClock()
        self._wall_clock = wall_clock
        self._warned_s = -WARNING_GAP_S

    @property
    def process(self) -> str:
        """Name of the process."""
        return self._process

    @property
    def refused_stamps(self) -> int:
        """Stamps of other processes that were too far ahead."""
        return self._clock.refused_stamps

    def record(self, effect: Record) -> None:
        """Adds an event.

        Args:
            effect: The event.
        """
        wall_s = self._wall_clock()
        stamp = self._clock.local_event(int(wall_s * MS_PER_S))
        self._sequence += 1
        if len(effect.detail) > LONGEST_DETAIL:
            effect = replace(effect, detail=effect.detail[:LONGEST_DETAIL])
        ring = self._cell_events if effect.job is None else self._job_events
        ring.append(_Entry(self._sequence, stamp, wall_s, effect))

    def make_stamp(self) -> ClockStamp:
        """Returns the stamp for a frame that is sent now."""
        wall_ms = int(self._wall_clock() * MS_PER_S)
        return ClockStamp(self._clock.local_event(wall_ms))

    def take_stamp(self, peer: str, message: ClockStamp) -> None:
        """Moves the clock past the stamp of a frame that arrived.

        Args:
            peer: Name of the sender.
            message: The stamp.
        """
        refused = self._clock.refused_stamps
        wall_s = self._wall_clock()
        self._clock.receive(message.stamp, int(wall_s * MS_PER_S))
        if self._clock.refused_stamps > refused:
            ahead_s = stamp_ms(message.stamp) / MS_PER_S - wall_s
            self._warn_of_clock(peer, ahead_s)

    def select(
        self,
        wanted: TimelineFilter,
        after_sequence: int = 0,
    ) -> list[TimelineEvent]:
        """Returns the events that pass a filter, oldest first.

        Args:
            wanted: The filter.
            after_sequence: Only events with a higher number.
        """
        return list(self._iterate(wanted, after_sequence))

    def answer(
        self,
        query: TimelineQuery,
        relayed_to: tuple[str, ...] = (),
    ) -> TimelineEvents:
        """Returns one page for a query.

        Args:
            query: The query.
            relayed_to: Names of the processes that it was passed on to.
        """
        found = self._iterate(query.wanted, query.after_sequence)
        events = list(itertools.islice(found, PAGE_EVENTS + 1))
        return TimelineEvents(
            origin=query.origin,
            query_id=query.query_id,
            process=self._process,
            events=tuple(events[:PAGE_EVENTS]),
            complete=len(events) <= PAGE_EVENTS,
            relayed_to=relayed_to,
        )

    def _iterate(
        self,
        wanted: TimelineFilter,
        after_sequence: int,
    ) -> Iterator[TimelineEvent]:
        selected = [
            self._select(ring, wanted, after_sequence)
            for ring in (self._job_events, self._cell_events)
        ]
        return heapq.merge(*selected, key=attrgetter('sequence'))

    def _select(
        self,
        ring: deque[_Entry],
        wanted: TimelineFilter,
        after_sequence: int,
    ) -> Iterator[TimelineEvent]:
        for entry in ring:
            if entry.sequence <= after_sequence:
                continue
            effect = entry.effect
            if wanted.matches(entry.wall_s, effect.job, effect.subject):
                yield self._make_event(entry)

    def _make_event(self, entry: _Entry) -> TimelineEvent:
        effect = entry.effect
        return TimelineEvent(
            process=self._process,
            sequence=entry.sequence,
            stamp=entry.stamp,
            wall_s=entry.wall_s,
            kind=effect.kind,
            job=effect.job,
            task_index=effect.task_index,
            subject=effect.subject,
            detail=effect.detail,
        )

    def _warn_of_clock(self, peer: str, ahead_s: float) -> None:
        now_s = time.monotonic()
        if now_s - self._warned_s < WARNING_GAP_S:
            return
        self._warned_s = now_s
        LOGGER.warning(
            'the clock of %s is %.1f s ahead of that of %s and not followed',
            peer,
            ahead_s,
            self._process,
        )


def event_line(event: TimelineEvent) -> bytes:
    """Returns an event as one JSON line.

    Examples:
        >>> line = event_line(TimelineEvent('e1', 1, 0x50002, 0.5, 'lease'))
        >>> json.loads(line)['stamp']
        '5.2'
    """
    fields = {
        'process': event.process,
        'sequence': event.sequence,
        'stamp': f'{stamp_ms(event.stamp)}.{_counter(event.stamp)}',
        'wall_s': event.wall_s,
        'kind': event.kind,
    }
    if event.job is not None:
        fields['service'] = event.job.service
        fields['job'] = event.job.key
    fields['task_index'] = event.task_index
    fields['subject'] = event.subject
    fields['detail'] = event.detail
    return f'{json.dumps(fields, separators=(",", ":"))}\n'.encode('ascii')


def make_filter(query: dict[str, str]) -> TimelineFilter:
    """Returns the filter of checked query parameters.

    Examples:
        >>> make_filter({'job': 'k1', 'since_s': '2.5', 'scope': 'cell'})
        TimelineFilter(job='k1', service='', since_s=2.5, until_s=inf)
    """
    default = TimelineFilter()
    return TimelineFilter(
        job=query.get('job', ''),
        service=query.get('service', ''),
        since_s=float(query.get('since_s', default.since_s)),
        until_s=float(query.get('until_s', default.until_s)),
    )


def _counter(stamp: int) -> int:
    return stamp & ((1 << COUNTER_BITS) - 1)
