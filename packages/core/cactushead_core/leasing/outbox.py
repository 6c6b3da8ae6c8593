"""Collects run results until the end of an event-loop turn."""

from ..effects import Effect, Record, Send
from ..events import Peer
from ..tasks import RunEnd, RunResult, RunsEnded
from ..tasks.names import MAX_NAMED
from .evidence import find_end_record
from .runs import LeasedRun, RunTable
from .sessions import Sessions


class Outbox:
    """Run results by owner, sent as one message per turn."""

    def __init__(self, runs: RunTable) -> None:
        """Initializes an empty outbox.

        Args:
            runs: The agent's runs.
        """
        self._runs = runs
        self._results: dict[Peer, list[RunResult]] = {}
        self._records: list[Record] = []
        self._unrecorded = 0

    def add(
        self,
        run: LeasedRun,
        end: RunEnd,
        now_s: float,
        cause: str,
    ) -> None:
        """Adds the result of a run.

        Args:
            run: The run.
            end: How it ended.
            now_s: The agent's clock.
            cause: Short text for logs.
        """
        ran_s = now_s - run.start_sent_s if run.start_sent_s else 0.0
        ended = RunResult(run.task, run.run, end, ran_s, cause)
        self._results.setdefault(run.owner, []).append(ended)

    def finish(
        self,
        run: LeasedRun,
        end: RunEnd,
        now_s: float,
        cause: str,
        evidence: str = '',
    ) -> None:
        """Removes a run from the table and adds its result.

        Args:
            run: A run in the agent's table.
            end: How it ended.
            now_s: The agent's clock.
            cause: Short text for logs.
            evidence: What shows that it has ended, for logs; empty if the cause
                does.
        """
        record = find_end_record(run, end, evidence or cause, now_s)
        if record is not None:
            self._record(record)
        self._runs.remove(run)
        self.add(run, end, now_s, cause)

    def send(self, sessions: Sessions, effects: list[Effect]) -> None:
        """Sends all results to their owners, after the records of ends.

        Explanation:
            Messages are addressed by name, so those for an entry that has ended
            would reach its next incarnation. They are dropped.

        Args:
            sessions: The agent's sessions with entries.
            effects: List to which effects are appended.
        """
        effects.extend(self._records)
        if self._unrecorded:
            more = f'{self._unrecorded} runs'
            effects.append(Record('more runs ended', detail=more, logged=True))
        self._records = []
        self._unrecorded = 0
        for owner, results in self._results.items():
            if sessions.is_connected(owner):
                effects.append(Send(owner.name, RunsEnded(tuple(results))))
        self._results = {}

    def _record(self, record: Record) -> None:
        """Keeps the records of the first runs that end in a turn."""
        if len(self._records) < MAX_NAMED:
            self._records.append(record)
        else:
            self._unrecorded += 1
