"""Log records that show what became of an agent's runs, and on what evidence.

Explanation:
    Each stands for a rare event: an offer of a task that is here already, runs
    that are stopped, and an end that the upstream hasn't listed. None is
    written for a run that ends by itself.
"""

from collections.abc import Collection, Mapping

from ..effects import Record
from ..events import Peer
from ..tasks import OfferTasks, RunEnd, TaskRef
from ..tasks.names import join_names, name_run, name_task
from .model import Heartbeat
from .runs import LeasedRun, Phase
from .upstream_tracker import NO_HEARTBEAT

# Ends that the agent concludes, without one that the upstream lists.
_CONCLUDED = frozenset((RunEnd.LOST, RunEnd.LEASE_EXPIRED, RunEnd.CRASHED))


def add_runs(text: str, runs: Collection[LeasedRun]) -> str:
    """Returns a text followed by the names, owners and phases of runs.

    Args:
        text: The text.
        runs: The runs.
    """
    names = join_names(
        [
            f'{name_run(run.task, run.run)} of {run.owner.name} {run.phase}'
            for run in runs
        ]
    )
    return f'{text}: {names}' if names else text


def withdrawn_record(owner: Peer, job: str, runs: list[LeasedRun]) -> Record:
    """Returns the record of runs that their owner has cancelled.

    Args:
        owner: The entry.
        job: Id of the job.
        runs: Its runs here.
    """
    return Record(
        'job withdrawn',
        subject=job,
        detail=add_runs(f'by {owner.name}, {len(runs)} runs end', runs),
        logged=True,
    )


def discarded_record(sender: Peer, offer: OfferTasks) -> Record:
    """Returns the record of an offer of an earlier session.

    Args:
        sender: The entry.
        offer: Its offer.
    """
    names = join_names(
        [
            name_run(TaskRef(offer.job, offer.step, one.index), one.run)
            for one in offer.runs
        ]
    )
    return Record(
        'offer discarded',
        subject=sender.name,
        detail=f'session {offer.session}, {names}',
        logged=True,
    )


def known_task_record(offered: LeasedRun, known: LeasedRun) -> Record:
    """Returns the record of an offered task that already has a run here.

    Args:
        offered: The offered run.
        known: The run that is here.
    """
    return Record(
        'task known',
        subject=name_task(offered.task),
        detail=f'{_describe(offered)} is offered;'
        f' {_describe(known)} is {known.phase}',
        logged=True,
    )


def find_end_record(
    run: LeasedRun,
    end: RunEnd,
    evidence: str,
    now_s: float,
) -> Record | None:
    """Returns the record of a run that was stopped or whose end is concluded.

    Args:
        run: The run, as it was before its end.
        end: How it ended.
        evidence: What shows that it has ended.
        now_s: The agent's clock.

    Returns:
        None for a run that ended by itself.
    """
    stopping = run.phase is Phase.STOPPING
    if not stopping and end not in _CONCLUDED:
        return None
    text = f'{_describe(run)}: {end.value}, {evidence}'
    if stopping:
        answer = 'not confirmed'
        if run.stop_confirmed_s:
            answer = f'confirmed {now_s - run.stop_confirmed_s:.3f} s ago'
        return Record(
            'run stopped',
            subject=name_task(run.task),
            detail=f'{text}; {run.cause}, asked'
            f' {now_s - run.stop_asked_s:.3f} s ago, {answer}',
            logged=True,
        )
    return Record(
        'run end concluded',
        subject=name_task(run.task),
        detail=f'{text}; start call {now_s - run.start_sent_s:.3f} s ago',
        logged=True,
    )


def replaced_record(
    known: Heartbeat,
    upstream: Heartbeat,
    returned: Mapping[str, int],
) -> Record:
    """Returns the record of an incarnation that follows another one.

    Args:
        known: The newest heartbeat of the one before.
        upstream: That of the new one.
        returned: Number of queued runs that were returned, by cause.
    """
    kind = _name_kind(upstream)
    if upstream.sequence == NO_HEARTBEAT:
        kind = 'no heartbeat yet'
    return Record(
        'upstream replaced',
        subject=upstream.identity.upstream,
        detail=f'{kind}; before {_name_kind(known)};'
        f' {_name_returned(returned)}',
        logged=True,
    )


def returned_record(upstream: str, returned: Mapping[str, int]) -> Record:
    """Returns the record of queued runs that were returned to their entries.

    Args:
        upstream: Id of the upstream; empty for none.
        returned: Number of the runs by cause.
    """
    detail = _name_returned(returned)
    return Record(
        'queue returned', subject=upstream, detail=detail, logged=True
    )


def _name_kind(upstream: Heartbeat) -> str:
    room = upstream.capacity
    return (
        f'{upstream.identity.started_ms} {upstream.service}'
        f' {"/".join(upstream.labels)} cpu {room.cpu_m}'
        f' memory {room.memory_mb} gpu {room.gpus}'
    )


def _name_returned(returned: Mapping[str, int]) -> str:
    causes = [f'{count} {cause}' for cause, count in returned.items()]
    total = f'{sum(returned.values())} queued runs returned'
    return ': '.join((total, ', '.join(causes))) if causes else total


def _describe(run: LeasedRun) -> str:
    return f'run {run.run} of {run.owner.name} in session {run.session}'
