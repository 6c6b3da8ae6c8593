"""What an agent does with the tasks at its upstream."""

from ..effects import Count, Effect, Record
from ..events import Peer
from ..tasks import OfferTasks, RunEnd, TaskRef, TaskRun
from .calls import UpstreamCalls
from .events import (
    LeasesRenewed,
    RenewalFailed,
    StartAnswered,
    StopAnswered,
    UpstreamAnnounced,
    UpstreamLeft,
)
from .life import UpstreamLife
from .lists import RunLists
from .model import Announcement, StartAnswer, UpstreamIdentity
from .outbox import Outbox
from .runs import LeasedRun, Phase, RunTable, note
from .sessions import Sessions
from .settings import LeasingSettings
from .stops import Stops


class LeaseKeeper:
    """Queue, room and leases of one upstream.

    Explanation:
        A run books its room from the start call on, until the upstream has
        listed its end, or a list that was asked for after a confirmed stop
        shows it no more. A run that the agent doesn't know is stopped, and
        until it is gone the agent neither starts anything nor tells the
        entries what it has.
    """

    def __init__(self, settings: LeasingSettings) -> None:
        """Starts without an upstream.

        Args:
            settings: Settings.
        """
        self.runs = RunTable()
        self._settings = settings
        self._calls = UpstreamCalls(settings)
        longest_s = self._calls.clock.longest_s(settings.lease_s)
        self._life = UpstreamLife(longest_s)
        self._stops = Stops(self._calls, settings.retry_s)
        self._sessions = Sessions(self.runs)
        self._outbox = Outbox(self.runs)
        self._lists = RunLists(
            self.runs,
            self._calls,
            self._stops,
            self._outbox,
        )
        self._draining = False
        self._report_due = False
        self._lost_owners: dict[Peer, float] = {}
        self._load_due_s = 0.0

    @property
    def upstream(self) -> Announcement | None:
        """The upstream's newest heartbeat, None when there is none."""
        return self._life.upstream

    @property
    def idle(self) -> bool:
        """Whether the upstream has none of this agent's runs."""
        return not self.runs.at_upstream()

    @property
    def ready(self) -> bool:
        """Whether new tasks may start."""
        return self._life.accepts_tasks and not self._draining

    # The upstream's own reports.

    def announced(
        self,
        event: UpstreamAnnounced,
        effects: list[Effect],
    ) -> None:
        """Takes a heartbeat, unless it is older than what is known."""
        news = event.announcement
        known = self.upstream
        if not self._life.is_news(news):
            return
        if known is None or known.identity != news.identity:
            self._begin_life(news, event.now_s, effects)
        self._life.upstream = news
        if not self._calls.clock.known:
            self._calls.clock.observe(news.clock_ms, event.now_s)
        if known is not None and _shows_change(known, news):
            self._report_change(event.now_s)

    def left(self, event: UpstreamLeft, effects: list[Effect]) -> None:
        """Takes the upstream's word that it ends now."""
        known = self.upstream
        if known is not None and known.identity.upstream == event.upstream:
            self._end_life('upstream left', event.now_s, effects)

    # Entries.

    def offered(
        self,
        sender: Peer,
        offer: OfferTasks,
        now_s: float,
        effects: list[Effect],
    ) -> None:
        """Queues offered tasks, or hands them back.

        Args:
            sender: The entry.
            offer: The tasks.
            now_s: The process's clock.
            effects: Where effects are added.
        """
        if not self._sessions.take_offer(sender, offer.session, offer.number):
            effects.append(Count('offers', 'earlier session'))
            return
        for task_run in offer.runs:
            run = _make_run(sender, offer, task_run, now_s)
            fault = self._find_fault(run)
            if fault:
                self._outbox.add(run, RunEnd.RETURNED, now_s, fault)
            else:
                self.runs.add(run)

    def withdrawn(
        self,
        sender: Peer,
        job: str,
        now_s: float,
        effects: list[Effect],
    ) -> None:
        """Drops and stops the runs of an owner's job."""
        for run in self.runs.of_owner(sender):
            if run.task.job == job:
                self._end_early(run, 'withdrawn', now_s, effects)

    def entry_connected(
        self,
        peer: Peer,
        now_s: float,
        effects: list[Effect],
    ) -> None:
        """Begins to deal with an entry; runs of its earlier life end."""
        self._lost_owners.pop(peer, None)
        self._sessions.connected(peer)
        for owner in list(self._lost_owners):
            if owner.name == peer.name:
                self._drop_owner(owner, now_s, effects)

    def entry_lost(self, peer: Peer, now_s: float) -> None:
        """Gives an entry some time to come back."""
        self._sessions.disconnected(peer)
        if self.runs.of_owner(peer):
            self._lost_owners[peer] = now_s + self._settings.owner_grace_s

    # Answers of the upstream.

    def start_answered(
        self,
        event: StartAnswered,
        effects: list[Effect],
    ) -> None:
        """Takes the answer to a start call."""
        run = self._find_run(event.upstream, event.task, event.run)
        if run is None:
            return
        self._calls.clock.observe(event.clock_ms, event.now_s)
        match event.answer:
            case StartAnswer.STARTED:
                run.answered_s = event.now_s
                if run.phase is Phase.STARTING:
                    run.phase = Phase.RUNNING
            case StartAnswer.UNKNOWN:
                effects.append(note('start unanswered', run, event.cause))
                self._stops.begin(run, None, 'start unanswered', event.now_s)
                self._stops.repeat_all(
                    self.runs, self.upstream, event.now_s, effects
                )
            case _:
                if event.answer is StartAnswer.FENCED:
                    self._calls.raise_token(effects)
                effects.append(note('start refused', run, event.cause))
                self._outbox.finish(
                    run, RunEnd.RETURNED, event.now_s, event.cause
                )

    def stop_answered(
        self,
        event: StopAnswered,
        effects: list[Effect],
    ) -> None:
        """Takes the answer to a stop call."""
        run = self._find_run(event.upstream, event.task, event.run)
        if run is None:
            return
        run.stop_open = False
        if event.confirmed:
            run.stopped_s = event.now_s

    def renewed(self, event: LeasesRenewed, effects: list[Effect]) -> None:
        """Takes the upstream's lists of runs and ends."""
        self._calls.renewal_open = False
        if not self._life.speaks(event.upstream):
            return
        self._adopt_life(event.upstream, effects)
        self._calls.clock.observe(event.clock_ms, event.now_s)
        acknowledged = self._calls.acknowledged
        self._lists.take(event, self.upstream, effects)
        if acknowledged == self._calls.acknowledged:
            # Without news an answer that came early is asked for less often.
            spent_s = event.now_s - event.sent_s
            pause_s = max(self._settings.shortest_renewal_s - spent_s, 0.0)
            self._calls.renew_from_s = event.now_s + pause_s
        if not self._life.settled and not self._calls.strangers_left:
            self._life.settled = True
            self._report_due = True
        self._renew(event.now_s, effects)

    def renewal_failed(
        self,
        event: RenewalFailed,
        effects: list[Effect],
    ) -> None:
        """Takes note of a renewal without a usable answer."""
        self._calls.renewal_open = False
        if not self._life.speaks(event.upstream):
            return
        effects.append(
            Record(
                'renewal failed',
                subject=event.upstream.upstream,
                detail=event.cause,
                logged=True,
            ),
        )
        if event.fenced:
            self._calls.raise_token(effects)
        self._calls.renew_from_s = event.now_s + self._settings.retry_s
        if event.refused:
            self._end_life(event.cause, event.now_s, effects)
        elif event.now_s > self._calls.leased_until_s:
            self._finish_all(RunEnd.LAPSED, 'lease lapsed', event.now_s)

    # Time.

    def tick(self, now_s: float, effects: list[Effect]) -> None:
        """Renews, repeats stops and gives up lost owners."""
        self._renew(now_s, effects)
        self._stops.repeat_all(self.runs, self.upstream, now_s, effects)
        for owner, until_s in list(self._lost_owners.items()):
            if now_s >= until_s:
                self._drop_owner(owner, now_s, effects)

    def turn_ended(self, now_s: float, effects: list[Effect]) -> None:
        """Starts what fits, and sends results and reports."""
        self._start_queued(now_s, effects)
        # Results go ahead: what a report lacks counts as lost.
        self._outbox.send(effects)
        if not self._life.is_certain(now_s):
            return
        self._sessions.report(
            self.upstream,
            ready=self.ready,
            again=self._report_due,
            effects=effects,
        )
        self._report_due = False
        if now_s >= self._load_due_s:
            self._load_due_s = now_s + self._settings.load_s
            self._sessions.tell_load(self._lists.typical_s, effects)

    def drain(self, now_s: float) -> None:
        """Starts nothing more and hands queued tasks back."""
        self._draining = True
        self._report_change(now_s)

    # Steps.

    def _find_run(
        self,
        upstream: UpstreamIdentity,
        task: TaskRef,
        number: int,
    ) -> LeasedRun | None:
        """Returns the run that an answer is about, if it is still known."""
        if not self._life.speaks(upstream):
            return None
        run = self.runs.find(task)
        if run is None or run.run != number or run.phase is Phase.QUEUED:
            return None
        return run

    def _find_fault(self, run: LeasedRun) -> str:
        """Returns why an offered run can't be queued, empty if it can."""
        if self.upstream is None or not self.ready:
            return 'upstream takes no tasks'
        if not self.upstream.capacity.can_fit(run.needs):
            return 'larger than the upstream'
        known = self.runs.find(run.task)
        if known is None:
            return ''
        return f'run {known.run} of the task is {known.phase}'

    def _start_queued(self, now_s: float, effects: list[Effect]) -> None:
        upstream = self.upstream
        if upstream is None or not self.ready or not self._calls.clock.known:
            return
        if not self.runs.queued_cpu_m:
            return
        for run in self.runs.queued(now_s):
            free = upstream.capacity - self.runs.booked
            if free.can_fit(run.needs):
                self.runs.begin(run, now_s)
                effects.append(self._calls.start(run, upstream, now_s))
            elif not run.may_wait:
                self._outbox.finish(run, RunEnd.NO_CAPACITY, now_s, 'no room')

    def _renew(self, now_s: float, effects: list[Effect]) -> None:
        calls = self._calls
        upstream = self.upstream
        if upstream is None or calls.renewal_open:
            return
        if now_s >= calls.renew_from_s:
            wait_s = self._settings.renew_wait_s if self._life.settled else 0.0
            renewal = calls.renew(
                upstream,
                now_s,
                idle=self.idle,
                wait_s=wait_s,
            )
            effects.append(renewal)

    def _end_early(
        self,
        run: LeasedRun,
        cause: str,
        now_s: float,
        effects: list[Effect],
    ) -> None:
        if run.phase is Phase.QUEUED:
            self.runs.remove(run)
        else:
            self._stops.begin(run, RunEnd.STOPPED, cause, now_s)
            self._stops.repeat(run, self.upstream, now_s, effects)

    def _drop_owner(
        self,
        owner: Peer,
        now_s: float,
        effects: list[Effect],
    ) -> None:
        self._lost_owners.pop(owner, None)
        runs = self.runs.of_owner(owner)
        effects.append(
            Record(
                'owner lost',
                subject=owner.name,
                detail=f'{len(runs)} runs end',
                logged=True,
            ),
        )
        for run in runs:
            self._end_early(run, 'owner lost', now_s, effects)

    def _begin_life(
        self,
        news: Announcement,
        now_s: float,
        effects: list[Effect],
    ) -> None:
        if self._life.speaks(news.identity):
            self._adopt_life(news.identity, effects)
            return
        if self.upstream is not None:
            self._end_life('another upstream', now_s, effects)
        effects.append(
            Record(
                'upstream announced',
                subject=news.identity.upstream,
                detail=f'{news.service} {news.capacity}',
                logged=True,
            ),
        )
        self._life.begin()
        self._calls.begin_life()
        self._calls.renew_from_s = now_s

    def _adopt_life(
        self,
        identity: UpstreamIdentity,
        effects: list[Effect],
    ) -> None:
        """Goes on with a new life of the upstream under its old id.

        Explanation:
            Starts that were on their way may run in the new life, so its
            next list decides which runs are lost.
        """
        if not self._life.adopt(identity):
            return
        effects.append(
            Record(
                'upstream restarted',
                subject=identity.upstream,
                detail=f'{len(self.runs)} runs to look for',
                logged=True,
            ),
        )
        self._calls.begin_life()

    def _end_life(
        self,
        cause: str,
        now_s: float,
        effects: list[Effect],
    ) -> None:
        """Ends all runs, since nothing of this life runs any more."""
        known = self.upstream
        effects.append(
            Record(
                'upstream gone',
                subject='' if known is None else known.identity.upstream,
                detail=f'{cause}, {len(self.runs)} runs',
                logged=True,
            ),
        )
        self._finish_all(RunEnd.LOST, cause, now_s)
        self._life.end()
        self._calls.renewal_open = False
        self._report_change(now_s)

    def _report_change(self, now_s: float) -> None:
        if not self.ready:
            for run in self.runs.queued():
                self._outbox.finish(run, RunEnd.RETURNED, now_s, 'not ready')
        self._report_due = True

    def _finish_all(self, end: RunEnd, cause: str, now_s: float) -> None:
        for run in self.runs.at_upstream():
            self._outbox.finish(run, run.end or end, now_s, cause)


def _make_run(
    sender: Peer,
    offer: OfferTasks,
    task_run: TaskRun,
    now_s: float,
) -> LeasedRun:
    return LeasedRun(
        sender,
        TaskRef(offer.job, offer.step, task_run.index),
        task_run.run,
        offer.needs,
        offer.payload,
        now_s + offer.slack_s,
        offer.expected_s,
        offer.may_wait,
    )


def _shows_change(known: Announcement, news: Announcement) -> bool:
    return (
        known.state is not news.state
        or known.capacity != news.capacity
        or known.labels != news.labels
        or known.service != news.service
    )
