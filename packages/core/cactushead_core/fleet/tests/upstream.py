"""A stand-in for an upstream that runs tasks under leases, in virtual time."""

from dataclasses import dataclass, field

from cactushead_core.events import Event
from cactushead_core.leasing import (
    EndRow,
    LeasesRenewed,
    RenewalFailed,
    RenewLeases,
    RunningRow,
    StartAnswer,
    StartAnswered,
    StartLeased,
    StopAnswered,
    StopLeased,
    UpstreamAnnounced,
    UpstreamIdentity,
    UpstreamState,
)
from cactushead_core.leasing.model import Announcement
from cactushead_core.tasks import Resources, RunEnd, TaskRef

LEASE_MS = 1000
STOP_S = 0.02


@dataclass(slots=True)
class LiveRun:
    """A run at the stand-in.

    Attributes:
        run: Its number.
        began_s: When it began.
        ends_s: When it ends by itself, or is stopped.
        lease_ms: End of its lease on the stand-in's clock.
        end: How it will end at `ends_s`.
        stands_at: Percent at which it stands still; -1 while it moves.
    """

    run: int
    began_s: float
    ends_s: float
    lease_ms: int
    end: RunEnd
    stands_at: int = -1


@dataclass(slots=True)
class History:
    """What happened at all stand-ins, for the checks of a test.

    Attributes:
        live: Which upstreams run each task now.
        overlaps: Tasks that ran twice at the same time.
        overloads: Upstreams whose room was exceeded.
        starts: Time, task and upstream of each start.
    """

    live: dict[TaskRef, set[str]] = field(default_factory=dict)
    overlaps: list[TaskRef] = field(default_factory=list)
    overloads: list[str] = field(default_factory=list)
    starts: list[tuple[float, TaskRef, str]] = field(default_factory=list)


class StandIn:
    """Starts what it is told, keeps leases and lists ends.

    Attributes:
        running: Its live runs.
        down: Whether it answers nothing and runs nothing.
    """

    def __init__(
        self,
        name: str,
        capacity: Resources,
        run_s: float,
        history: History,
    ) -> None:
        """Starts empty.

        Args:
            name: Its id.
            capacity: Its room.
            run_s: How long each task runs.
            history: Shared with the other stand-ins.
        """
        self.name = name
        self.capacity = capacity
        self.run_s = run_s
        self.history = history
        self.running: dict[TaskRef, LiveRun] = {}
        self.down = False
        self.draining = False
        self.born_ms = 1
        self.needs: dict[TaskRef, Resources] = {}
        self.failing = False
        self.hanging = False
        self._ends: list[EndRow] = []
        self._number = 0
        self._highest: dict[TaskRef, int] = {}
        self._token = 0
        self._sequence = 0

    @property
    def identity(self) -> UpstreamIdentity:
        """Its present life."""
        return UpstreamIdentity(self.name, self.born_ms)

    def heartbeat(self, now_s: float, service: str) -> Event:
        """Returns its next heartbeat."""
        self._sequence += 1
        state = (
            UpstreamState.DRAINING if self.draining else (UpstreamState.READY)
        )
        return UpstreamAnnounced(
            now_s,
            Announcement(
                self.identity,
                self._sequence,
                service,
                state,
                self.capacity,
                (),
                f'{self.name}:1',
                self._clock_ms(now_s),
            ),
        )

    def crash(self) -> None:
        """Ends all runs without a trace; `restart` begins a new life."""
        for task in list(self.running):
            self._drop(task)
        self.down = True

    def restart(self) -> None:
        """Begins a new life under the old id."""
        self.down = False
        self.hanging = False
        self.born_ms += 1
        self._ends = []
        self._number = 0
        self._highest = {}
        self._token = 0
        self._sequence = 0

    def hang(self, now_s: float) -> None:
        """Lets what runs and what comes stand still."""
        self.hanging = True
        for live in self.running.values():
            live.stands_at = self._percent(live, now_s)
            live.ends_s = float('inf')

    def resume(self, now_s: float) -> None:
        """Lets what stands still begin its work anew."""
        self.hanging = False
        for live in self.running.values():
            if live.stands_at >= 0 and live.ends_s == float('inf'):
                live.stands_at = -1
                live.began_s = now_s
                live.ends_s = now_s + self.run_s

    def advance(self, now_s: float) -> None:
        """Ends the runs whose time or lease is over."""
        for task, live in list(self.running.items()):
            if now_s >= live.ends_s:
                self._finish(task, live.end)
            elif self._clock_ms(now_s) > live.lease_ms:
                self._finish(task, RunEnd.LAPSED)

    def start(self, call: StartLeased, now_s: float) -> Event:
        """Carries out a start call."""
        self.advance(now_s)
        answer = StartAnswer.STARTED
        old = call.run <= self._highest.get(call.task, 0)
        live = self.running.get(call.task)
        if call.token < self._token:
            answer = StartAnswer.FENCED
        elif live is not None and live.run == call.run:
            answer = StartAnswer.STARTED
        elif old or call.lease_end_ms <= self._clock_ms(now_s):
            answer = StartAnswer.REFUSED
        else:
            self._begin(call, now_s)
        self._token = max(self._token, call.token)
        return StartAnswered(
            now_s,
            call.upstream,
            call.task,
            call.run,
            answer,
            self._clock_ms(now_s),
            answer.value,
        )

    def stop(self, call: StopLeased, now_s: float) -> Event:
        """Carries out a stop call, but not one with an earlier token."""
        self.advance(now_s)
        if call.token < self._token:
            return StopAnswered(
                now_s,
                call.upstream,
                call.task,
                call.run,
                confirmed=False,
            )
        self._token = call.token
        highest = self._highest.get(call.task, 0)
        self._highest[call.task] = max(highest, call.run)
        live = self.running.get(call.task)
        if live is not None and live.run <= call.run:
            live.ends_s = min(live.ends_s, now_s + STOP_S)
            live.end = RunEnd.STOPPED
        return StopAnswered(
            now_s,
            call.upstream,
            call.task,
            call.run,
            confirmed=True,
        )

    def renew(self, call: RenewLeases, sent_s: float, now_s: float) -> Event:
        """Carries out a renewal, but not one with an earlier token."""
        self.advance(now_s)
        if call.token < self._token:
            return RenewalFailed(
                now_s,
                call.upstream,
                refused=False,
                fenced=True,
                cause='fence',
            )
        self._token = call.token
        self._ends = [
            row for row in self._ends if row.number > call.acknowledged
        ]
        highest_ms = self._clock_ms(now_s) + LEASE_MS
        for live in self.running.values():
            wanted_ms = min(call.lease_end_ms, highest_ms)
            live.lease_ms = max(live.lease_ms, wanted_ms)
        return LeasesRenewed(
            now_s,
            self.identity,
            sent_s,
            self._clock_ms(now_s),
            tuple(
                RunningRow(task, live.run, self._percent(live, now_s))
                for task, live in self.running.items()
            ),
            tuple(self._ends),
        )

    def _begin(self, call: StartLeased, now_s: float) -> None:
        end = RunEnd.FAILED if self.failing else RunEnd.DONE
        run_s = self._run_s(call.payload)
        lease_ms = min(
            call.lease_end_ms,
            self._clock_ms(now_s) + LEASE_MS,
        )
        self.running[call.task] = LiveRun(
            call.run,
            now_s,
            now_s + run_s,
            lease_ms,
            end,
        )
        if self.hanging:
            live = self.running[call.task]
            live.stands_at, live.ends_s = 0, float('inf')
        history = self.history
        places = history.live.setdefault(call.task, set())
        if places:
            history.overlaps.append(call.task)
        places.add(self.name)
        history.starts.append((now_s, call.task, self.name))
        used = Resources()
        for task in self.running:
            used += self.needs.get(task, Resources(cpu_m=1000))
        if not self.capacity.can_fit(used):
            history.overloads.append(self.name)

    def _finish(self, task: TaskRef, end: RunEnd) -> None:
        live = self.running[task]
        highest = self._highest.get(task, 0)
        self._highest[task] = max(highest, live.run)
        self._number += 1
        self._ends.append(EndRow(self._number, task, live.run, end))
        self._drop(task)

    def _drop(self, task: TaskRef) -> None:
        self.running.pop(task)
        self.history.live[task].discard(self.name)

    def _percent(self, live: LiveRun, now_s: float) -> int:
        if live.stands_at >= 0:
            return live.stands_at
        return int(100 * (now_s - live.began_s) / (live.ends_s - live.began_s))

    def _run_s(self, payload: str) -> float:
        """Returns how long a task runs: what its payload says, if a number."""
        try:
            return float(payload)
        except ValueError:
            return self.run_s

    def _clock_ms(self, now_s: float) -> int:
        return 5000 * self.born_ms + int(now_s * 1000)
