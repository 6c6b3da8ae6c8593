"""Traffic between processes for each useful task.

Explanation:
    Counters are read from each entry's metrics before and after the run.
    They are found by name wherever they stand in the JSON, and a cost whose
    counter is absent is not measured rather than 0.
"""

from collections import Counter
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from ..client import (
    Client,
    ClientError,
    Fields,
    HttpcoreTransport,
    JsonValue,
)

NEEDED_MESSAGES_PER_TASK = 2
FRAME_COUNTERS = ('sent_frames', 'received_frames')
MESSAGE_COUNTERS = ('sent_messages', 'received_messages')
BYTE_COUNTERS = ('sent_bytes', 'received_bytes')
RECORD_COUNTERS = ('appended_records', 'log_records', 'records')

Counters = Mapping[str, float]


@dataclass(frozen=True, slots=True)
class TaskCosts:
    """Costs for each useful task; None where not measured.

    Explanation:
        Traffic is counted at the entries, sent and received, so a frame
        between two entries counts twice and one to or from an agent once.

    Attributes:
        useful_tasks: Tasks of jobs that were answered whole.
        frames: Frames sent and received.
        messages: Messages in them.
        size_bytes: Their size.
        records: Records appended to the replicated log.
        wasted_frames: Frames and records beyond one assignment and one
            outcome.
        wasted_messages: Messages and records beyond these.
    """

    useful_tasks: int
    frames: float | None
    messages: float | None
    size_bytes: float | None
    records: float | None
    wasted_frames: float | None
    wasted_messages: float | None


async def read_counters(entries: Sequence[str]) -> list[Counters]:
    """Reads the counters of each entry; none of an entry that is gone.

    Args:
        entries: Addresses of the entries.
    """
    transport = HttpcoreTransport()
    found: list[Counters] = []
    for entry in entries:
        try:
            metrics = await Client(transport, (entry,)).metrics()
        except ClientError:
            metrics = Fields({})
        found.append(flatten_counters(metrics.raw))
    return found


def flatten_counters(raw: 'JsonValue') -> Counters:
    """Returns the numbers in a JSON value, summed by name.

    Explanation:
        A number counts for its field and for the object that holds it, so
        that a counter with labels is found by the counter's name.

    Examples:
        >>> found = flatten_counters({'refusals': {'quota': 2, 'full': 1}})
        >>> found['refusals'], found['quota']
        (3, 2)

    Args:
        raw: Decoded JSON.
    """
    totals: Counter[str] = Counter()
    _add_numbers(raw, ('',), totals)
    return totals


def _add_numbers(
    raw: 'JsonValue',
    names: tuple[str, ...],
    totals: 'Counter[str]',
) -> None:
    if isinstance(raw, dict):
        for name, child in raw.items():
            _add_numbers(child, (names[-1], name), totals)
    if isinstance(raw, list):
        for listed in raw:
            _add_numbers(listed, names, totals)
    if isinstance(raw, int | float) and not isinstance(raw, bool):
        totals.update(dict.fromkeys(names, raw))


def counted_between(
    before: Sequence[Counters],
    after: Sequence[Counters],
) -> dict[str, float]:
    """Returns how much each counter grew, over all entries.

    Explanation:
        An entry that was restarted counts from 0 again, so a counter that
        fell counts with its later value.

    Examples:
        >>> counted_between([{'sent_frames': 5}], [{'sent_frames': 9}])
        {'sent_frames': 4}
    """
    grown: Counter[str] = Counter()
    for old, new in zip(before, after, strict=True):
        for name, number in new.items():
            earlier = old.get(name, 0)
            grown[name] += number - earlier if number >= earlier else number
    return dict(grown)


def task_costs(grown: Counters, useful_tasks: int) -> TaskCosts:
    """Returns the costs for each useful task.

    Args:
        grown: Growth of the counters over the run.
        useful_tasks: Tasks of jobs that were answered whole.
    """
    frames = _per_task(grown, FRAME_COUNTERS, useful_tasks)
    messages = _per_task(grown, MESSAGE_COUNTERS, useful_tasks)
    records = _per_task(grown, RECORD_COUNTERS, useful_tasks)
    return TaskCosts(
        useful_tasks=useful_tasks,
        frames=frames,
        messages=messages,
        size_bytes=_per_task(grown, BYTE_COUNTERS, useful_tasks),
        records=records,
        wasted_frames=_wasted(frames, records),
        wasted_messages=_wasted(messages, records),
    )


def _per_task(
    grown: Counters,
    names: Sequence[str],
    useful_tasks: int,
) -> float | None:
    found = [grown[name] for name in names if name in grown]
    if not found or not useful_tasks:
        return None
    return sum(found) / useful_tasks


def _wasted(sent: float | None, records: float | None) -> float | None:
    if sent is None or records is None:
        return None
    return max(sent + records - NEEDED_MESSAGES_PER_TASK, 0)
