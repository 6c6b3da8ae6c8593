"""Sessions of an agent with its entries."""

from dataclasses import dataclass, replace

from ..effects import Effect, Send
from ..events import Peer, PeerRole
from ..tasks import Resources, UpstreamLoad, UpstreamReport
from .model import Heartbeat
from .runs import RunTable


@dataclass(slots=True)
class _Session:
    """Session with one entry over one link.

    Attributes:
        entry: The entry.
        number: Number of the session, which the newest report to the entry
            began; 0 before the first report.
        offers: Number of the newest offer accepted in that session.
    """

    entry: Peer
    number: int = 0
    offers: int = 0


class Sessions:
    """Sends reports to all connected entries.

    Explanation:
        Session numbers increase while the agent runs, so an offer based on
        an earlier report is never attributed to a later session.
    """

    def __init__(self, runs: RunTable) -> None:
        """Initializes the table without entries.

        Args:
            runs: The agent's runs.
        """
        self._runs = runs
        self._sessions: dict[str, _Session] = {}
        self._last_session = 0
        self._last_load: UpstreamLoad | None = None

    def connected(self, peer: Peer) -> None:
        """Adds an entry that has connected."""
        if peer.role is PeerRole.ENTRY:
            self._sessions[peer.name] = _Session(peer)

    def disconnected(self, peer: Peer) -> None:
        """Removes an entry."""
        self._sessions.pop(peer.name, None)

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
        # Forces a load message, since the entry waits for one that includes
        # this offer.
        self._last_load = None
        return True

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

    def send_load(self, mean_run_s: float, effects: list[Effect]) -> None:
        """Sends the load to all entries if it has changed.

        Args:
            mean_run_s: Exponential moving average of the run time.
            effects: List to which effects are appended.
        """
        runs = self._runs
        load = UpstreamLoad(runs.allocated, runs.queued_cpu_m, mean_run_s, 0)
        if load == self._last_load:
            return
        self._last_load = load
        for session in self._sessions.values():
            if session.number:
                self._send_load(session, load, effects)

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
        held = tuple(run.task for run in self._runs.of_owner(session.entry))
        report = UpstreamReport(
            session.number,
            '' if upstream is None else upstream.service,
            ready,
            Resources() if upstream is None else upstream.capacity,
            () if upstream is None else upstream.labels,
            held,
        )
        effects.append(Send(session.entry.name, report))
        load = self._last_load
        if load is not None:
            self._send_load(session, load, effects)

    def _send_load(
        self,
        session: _Session,
        load: UpstreamLoad,
        effects: list[Effect],
    ) -> None:
        load_message = replace(load, offers=session.offers)
        effects.append(Send(session.entry.name, load_message))
