"""Sessions of an agent with its entries."""

from collections.abc import Collection
from dataclasses import dataclass, replace

from ..effects import Effect, Send
from ..events import Peer, PeerRole
from ..messages.base import Message
from ..tasks import Resources, UpstreamLoad, UpstreamReport
from .model import Heartbeat, PlacementBasis
from .runs import RunTable

# Changes of the mean run time below 10 ms don't matter for placement.
MEAN_RUN_DIGITS = 2
# A change of the load by this part of the capacity is reported soon.
LARGE_CHANGE = 0.25
# A smaller change waits this many times longer, since it moves few tasks.
SMALL_CHANGE_FACTOR = 4


@dataclass(slots=True)
class _Session:
    """Session with one entry over one link.

    Attributes:
        entry: The entry.
        number: Number of the session, which the newest report to the entry
            began; 0 before the first report.
        offers: Number of the newest offer accepted in that session.
        load: Newest load that was sent to the entry.
        load_sent_s: Time at which it was sent.
        retired: Whether the entry was told to offer nothing more.
        basis: Upstream in the newest report; None without one.
    """

    entry: Peer
    number: int = 0
    offers: int = 0
    load: UpstreamLoad | None = None
    load_sent_s: float = float('-inf')
    retired: bool = False
    basis: PlacementBasis | None = None


class Sessions:
    """Sends reports to all connected entries.

    Explanation:
        Session numbers increase while the agent runs, and begin above those of
        its earlier incarnations, so an offer based on an earlier report is
        never attributed to a later session. An entry may send such an offer to
        a new incarnation, since it addresses the agent by its name.
    """

    def __init__(
        self, runs: RunTable, base: int, load_interval_s: float
    ) -> None:
        """Initializes the table without entries.

        Args:
            runs: The agent's runs.
            base: Number above which sessions are numbered.
            load_interval_s: Minimum interval between two load messages to
                an entry to which nothing else is sent.
        """
        self._runs = runs
        self._load_interval_s = load_interval_s
        self._sessions: dict[str, _Session] = {}
        self._last_session = base

    def connected(self, peer: Peer) -> None:
        """Adds an entry that has connected."""
        if peer.role is PeerRole.ENTRY:
            self._sessions[peer.name] = _Session(peer)

    def disconnected(self, peer: Peer) -> None:
        """Removes an entry."""
        self._sessions.pop(peer.name, None)

    def is_connected(self, peer: Peer) -> bool:
        """Whether there is a link to this incarnation of an entry."""
        session = self._sessions.get(peer.name)
        return session is not None and session.entry == peer

    def renew(self, peer: Peer) -> None:
        """Ends the session with an entry; the next report begins another."""
        session = self._sessions.get(peer.name)
        if session is not None:
            session.number = 0

    def accept_offer(self, sender: Peer, session: int, number: int) -> bool:
        """Records an offer of the current session.

        Args:
            sender: The entry.
            session: Session to which the offer refers.
            number: Number of the offer.

        Returns:
            Whether the offer belongs to the current session.
        """
        known = self._sessions.get(sender.name)
        if known is None or known.number != session:
            return False
        known.offers = number
        return True

    def find_basis(self, sender: Peer) -> PlacementBasis | None:
        """Returns what an entry was told last of the upstream.

        Args:
            sender: The entry.
        """
        known = self._sessions.get(sender.name)
        return None if known is None else known.basis

    def retire(self, names: Collection[str]) -> list[str]:
        """Marks the sessions that are about to end.

        Explanation:
            Their entries get a report that they may offer nothing more.

        Args:
            names: Entries whose links are not needed.

        Returns:
            The entries among them that know and own no run any more.
        """
        ended = []
        for name, session in self._sessions.items():
            if session.retired != (name in names):
                session.retired = name in names
                session.number = 0
            elif (
                session.retired
                and session.number
                and not self._runs.of_owner(session.entry)
            ):
                ended.append(name)
        return ended

    def report(
        self,
        upstream: Heartbeat | None,
        *,
        ready: bool,
        new_sessions: bool,
        effects: list[Effect],
    ) -> None:
        """Starts a session with each entry that has none.

        Args:
            upstream: The upstream, None if there is none.
            ready: Whether new tasks may be offered.
            new_sessions: Whether all entries get a new session.
            effects: List to which effects are appended.
        """
        for session in self._sessions.values():
            if new_sessions or not session.number:
                self._report(session, upstream, ready=ready, effects=effects)

    def send_load(
        self,
        mean_run_s: float,
        capacity_cpu_m: int,
        now_s: float,
        effects: list[Effect],
    ) -> None:
        """Sends the load to the entries for which it has changed.

        Explanation:
            An entry to which this turn sends other messages gets the load
            with them; any other waits for the end of an interval, which is
            longer if the load has changed little.

        Args:
            capacity_cpu_m: Processor capacity of the upstream, in thousandths
                of a core.
            mean_run_s: Exponential moving average of the run time.
            now_s: The agent's clock.
            effects: Effects of the turn, to which the messages are appended.
        """
        runs = self._runs
        load = UpstreamLoad(
            runs.allocated,
            runs.queued_cpu_m,
            round(mean_run_s, MEAN_RUN_DIGITS),
            0,
        )
        receivers = {
            effect.peer for effect in effects if isinstance(effect, Send)
        }
        for name, session in self._sessions.items():
            if not session.number or session.retired:
                continue
            session_load = replace(load, offers=session.offers)
            if session_load == session.load:
                continue
            due_s = session.load_sent_s + self._interval_s(
                session.load, session_load, capacity_cpu_m
            )
            if now_s >= due_s or name in receivers:
                session.load = session_load
                session.load_sent_s = now_s
                effects.append(Send(name, session_load))

    def send_all(self, message: Message, effects: list[Effect]) -> None:
        """Sends a message to all connected entries."""
        effects.extend(Send(name, message) for name in self._sessions)

    def _interval_s(
        self,
        known: UpstreamLoad | None,
        load: UpstreamLoad,
        capacity_cpu_m: int,
    ) -> float:
        """Returns the interval after which a changed load is sent."""
        if known is None or bool(known.queued_cpu_m) != bool(load.queued_cpu_m):
            return self._load_interval_s
        change_cpu_m = abs(_demand_cpu_m(load) - _demand_cpu_m(known))
        if change_cpu_m >= LARGE_CHANGE * capacity_cpu_m:
            return self._load_interval_s
        return SMALL_CHANGE_FACTOR * self._load_interval_s

    def _report(
        self,
        session: _Session,
        upstream: Heartbeat | None,
        *,
        ready: bool,
        effects: list[Effect],
    ) -> None:
        self._last_session += 1
        session.number = self._last_session
        session.offers = 0
        session.load = None
        session.basis = None if upstream is None else upstream.basis
        held = tuple(run.task for run in self._runs.of_owner(session.entry))
        report = UpstreamReport(
            session.number,
            '' if upstream is None else upstream.service,
            ready and not session.retired,
            Resources() if upstream is None else upstream.capacity,
            () if upstream is None else upstream.labels,
            held,
        )
        effects.append(Send(session.entry.name, report))


def _demand_cpu_m(load: UpstreamLoad) -> int:
    return load.allocated.cpu_m + load.queued_cpu_m
