"""What an agent has told each entry, and taken from it."""

from dataclasses import dataclass, replace

from ..effects import Effect, Send
from ..events import Peer, PeerRole
from ..tasks import Resources, UpstreamLoad, UpstreamReport
from .model import Announcement
from .runs import RunTable


@dataclass(slots=True)
class _Session:
    """An agent's dealings with one entry over one link.

    Attributes:
        entry: The entry.
        number: Number of the newest report to it, 0 before the first.
        offers: Number of the newest offer taken in that session.
    """

    entry: Peer
    number: int = 0
    offers: int = 0


class Sessions:
    """Reports to all connected entries.

    Explanation:
        Session numbers rise over the life of the agent, so an offer of an
        earlier report is never mistaken for one of a later one.
    """

    def __init__(self, runs: RunTable) -> None:
        """Starts without entries.

        Args:
            runs: The agent's runs.
        """
        self._runs = runs
        self._sessions: dict[str, _Session] = {}
        self._numbers = 0
        self._load_told: UpstreamLoad | None = None

    def connected(self, peer: Peer) -> None:
        """Takes an entry whose link is new."""
        if peer.role is PeerRole.ENTRY:
            self._sessions[peer.name] = _Session(peer)

    def disconnected(self, peer: Peer) -> None:
        """Drops an entry."""
        self._sessions.pop(peer.name, None)

    def take_offer(self, sender: Peer, session: int, number: int) -> bool:
        """Notes an offer.

        Args:
            sender: The entry.
            session: Session that the offer names.
            number: Number of the offer.

        Returns:
            Whether the offer is of the present session.
        """
        known = self._sessions.get(sender.name)
        if known is None or known.number != session:
            return False
        known.offers = number
        # The entry waits for a load that counts this offer.
        self._load_told = None
        return True

    def report(
        self,
        upstream: Announcement | None,
        *,
        ready: bool,
        again: bool,
        effects: list[Effect],
    ) -> None:
        """Begins a session with each entry that has none.

        Args:
            upstream: The upstream, None when there is none.
            ready: Whether new tasks may be offered.
            again: Whether all entries get a new session.
            effects: Where effects are added.
        """
        for session in self._sessions.values():
            if again or not session.number:
                self._report(session, upstream, ready=ready, effects=effects)

    def tell_load(self, typical_s: float, effects: list[Effect]) -> None:
        """Tells the load to all entries if it has changed.

        Args:
            typical_s: Mean run time of late.
            effects: Where effects are added.
        """
        runs = self._runs
        load = UpstreamLoad(runs.booked, runs.queued_cpu_m, typical_s, 0)
        if load == self._load_told:
            return
        self._load_told = load
        for session in self._sessions.values():
            if session.number:
                self._send_load(session, load, effects)

    def _report(
        self,
        session: _Session,
        upstream: Announcement | None,
        *,
        ready: bool,
        effects: list[Effect],
    ) -> None:
        self._numbers += 1
        session.number = self._numbers
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
        load = self._load_told
        if load is not None:
            self._send_load(session, load, effects)

    def _send_load(
        self,
        session: _Session,
        load: UpstreamLoad,
        effects: list[Effect],
    ) -> None:
        told = replace(load, offers=session.offers)
        effects.append(Send(session.entry.name, told))
