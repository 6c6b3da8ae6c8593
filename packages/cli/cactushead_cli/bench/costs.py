"""Traffic between processes per useful task.

Explanation:
    Counters are read from each entry's metrics before and after the run.
    They are looked up by name at any depth of the JSON. A cost whose counters
    are absent is None (not measured), not 0.
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
    """Costs per useful task; None where not measured.

    Explanation:
        Entries count the traffic that they send and receive, so a frame
        between two entries counts twice and one to or from an agent once.
        The necessary traffic of a task is one assignment and one outcome.

    Attributes:
        useful_tasks: Number of tasks of jobs that completed with correct
            results and were not cancelled; the other fields are per task.
        frames: Frames sent and received.
        messages: Messages in these frames.
        size_bytes: Size of these frames.
        records: Records appended to the replicated log.
        wasted_frames: Frames and records beyond the necessary two.
        wasted_messages: Messages and records beyond the necessary two.
    """

    useful_tasks: int
    frames: float | None
    messages: float | None
    size_bytes: float | None
    records: float | None
    wasted_frames: float | None
    wasted_messages: float | None


async def read_counters(entries: Sequence[str]) -> list[Counters]:
    """Reads the counters of each entry; empty for an unreachable entry.

    Args:
        entries: Addresses of the entries.
    """
    transport = HttpcoreTransport()
    readings: list[Counters] = []
    for entry in entries:
        try:
            metrics = await Client(transport, (entry,)).metrics()
        except ClientError:
            metrics = Fields({})
        readings.append(flatten_counters(metrics.raw))
    return readings


def flatten_counters(raw: 'JsonValue') -> Counters:
    """Returns the numbers in a JSON value, summed by name.

    Explanation:
        A number is added to the total of its own field and to that of the
        enclosing field, so that a counter with labels has a total under the
        counter's name.

    Examples:
        >>> totals = flatten_counters({'refusals': {'quota': 2, 'full': 1}})
        >>> totals['refusals'], totals['quota']
        (3, 2)

    Args:
        raw: Decoded JSON value.
    """
    totals: Counter[str] = Counter()
    _sum_numbers(raw, ('',), totals)
    return totals


def _sum_numbers(
    raw: 'JsonValue',
    names: tuple[str, ...],
    totals: 'Counter[str]',
) -> None:
    """Adds the numbers of a JSON value to the totals of the given names."""
    if isinstance(raw, dict):
        for name, child in raw.items():
            _sum_numbers(child, (names[-1], name), totals)
    if isinstance(raw, list):
        for listed in raw:
            _sum_numbers(listed, names, totals)
    if isinstance(raw, int | float) and not isinstance(raw, bool):
        totals.update(dict.fromkeys(names, raw))


def compute_counter_deltas(
    before: Sequence[Counters],
    after: Sequence[Counters],
) -> dict[str, float]:
    """Returns the increase of each counter, summed over all entries.

    Explanation:
        Counters of a restarted entry start from 0 again, so the increase of
        a counter that decreased is its later value.

    Examples:
        >>> compute_counter_deltas([{'sent_frames': 5}], [{'sent_frames': 9}])
        {'sent_frames': 4}
    """
    counter_deltas: Counter[str] = Counter()
    for old, new in zip(before, after, strict=True):
        for name, number in new.items():
            earlier = old.get(name, 0)
            counter_deltas[name] += (
                number - earlier if number >= earlier else number
            )
    return dict(counter_deltas)


def compute_task_costs(
    counter_deltas: Counters, useful_tasks: int
) -> TaskCosts:
    """Returns the costs per useful task.

    Args:
        counter_deltas: Increase of the counters over the run.
        useful_tasks: Number of tasks of jobs that completed with correct
            results and were not cancelled.
    """
    frames = _per_task(counter_deltas, FRAME_COUNTERS, useful_tasks)
    messages = _per_task(counter_deltas, MESSAGE_COUNTERS, useful_tasks)
    records = _per_task(counter_deltas, RECORD_COUNTERS, useful_tasks)
    return TaskCosts(
        useful_tasks=useful_tasks,
        frames=frames,
        messages=messages,
        size_bytes=_per_task(counter_deltas, BYTE_COUNTERS, useful_tasks),
        records=records,
        wasted_frames=_wasted(frames, records),
        wasted_messages=_wasted(messages, records),
    )


def _per_task(
    counter_deltas: Counters,
    names: Sequence[str],
    useful_tasks: int,
) -> float | None:
    """Returns the sum of the named counters per task, None if unknown."""
    measured = [
        counter_deltas[name] for name in names if name in counter_deltas
    ]
    if not measured or not useful_tasks:
        return None
    return sum(measured) / useful_tasks


def _wasted(sent: float | None, records: float | None) -> float | None:
    """Returns the traffic beyond the messages that each task needs."""
    if sent is None or records is None:
        return None
    return max(sent + records - NEEDED_MESSAGES_PER_TASK, 0)
