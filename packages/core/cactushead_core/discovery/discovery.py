"""Maintains links to the members of a fleet that a process needs."""

from dataclasses import dataclass

from ..effects import Effect, Record, Send
from ..events import Peer, PeerRole
from .effects import Dial, DropPeer
from .messages import Introduction, MemberAddresses
from .model import Endpoint, MemberAddress

# Processes that start together accept links within a few tenths of a second.
FIRST_DIAL_PAUSE_S = 0.1
# Limits the number of concurrent attempts at an address that does not answer.
MAX_DIAL_PAUSE_S = 0.8
# By then the side that should dial first has had one attempt and its answer.
DIAL_TAKEOVER_S = 1.5
# Three consecutive pings are lost or late.
PEER_TIMEOUT_S = 1.0
# A third of the peer timeout, which tolerates two lost pings.
PING_INTERVAL_S = 0.3
# Ticks are 50 ms apart; a gap this long means that the process was paused.
PROCESS_PAUSE_S = 0.4
# A member that was unreachable for this long is removed; seeds are kept.
MEMBER_EXPIRY_S = 60.0


@dataclass(slots=True)
class _DialBackoff:
    """Exponential backoff of the attempts to dial an address.

    Attributes:
        next_dial_s: Earliest time of the next attempt.
        pause_s: Pause after that attempt.
    """

    next_dial_s: float = 0.0
    pause_s: float = FIRST_DIAL_PAUSE_S

    def is_due(self, now_s: float) -> bool:
        """Whether to dial now; if so, schedules the next attempt."""
        if now_s < self.next_dial_s:
            return False
        self.next_dial_s = now_s + self.pause_s
        self.pause_s = min(2 * self.pause_s, MAX_DIAL_PAUSE_S)
        return True


@dataclass(slots=True)
class _KnownMember:
    """A known member of the fleet.

    Attributes:
        member: Its address.
        backoff: Backoff of the attempts to dial it.
        disconnected_s: When its last link went down, or when it became
            known.
    """

    member: MemberAddress
    backoff: _DialBackoff
    disconnected_s: float


class Discovery:
    """Known members, the attempts to dial them, and failure detection.

    Explanation:
        A process dials its seeds, sends each peer the addresses that it
        knows, and dials those that it receives. Agents dial entries, and of
        two entries the one whose name sorts first dials. The other side
        dials too after `DIAL_TAKEOVER_S`, so that a process that restarts
        while all its seeds are down is found by members that know it.
    """

    def __init__(
        self,
        own: MemberAddress,
        seeds: tuple[Endpoint, ...],
    ) -> None:
        """Initializes discovery without links.

        Args:
            own: Address of this process.
            seeds: Addresses that are known at the start.
        """
        self.own = own
        self.connected: dict[str, Peer] = {}
        self.voters: tuple[str, ...] = ()
        self._seeds = {
            seed: _DialBackoff() for seed in seeds if seed != own.endpoint
        }
        self._known: dict[str, _KnownMember] = {}
        self._last_received_s: dict[str, float] = {}
        self._last_tick_s: float | None = None
        self._last_ping_s = 0.0

    @property
    def members(self) -> tuple[MemberAddress, ...]:
        """All known members except this process."""
        return tuple(known.member for known in self._known.values())

    def peers(self, role: PeerRole) -> list[str]:
        """Returns the names of the connected peers of a role."""
        return [
            name for name, peer in self.connected.items() if peer.role is role
        ]

    def peer_connected(
        self, peer: Peer, now_s: float, effects: list[Effect]
    ) -> None:
        """Sends a new peer this process's address and the known members.

        Args:
            peer: The process at the other end.
            now_s: The process's clock.
            effects: List to which effects are appended.
        """
        self.connected[peer.name] = peer
        self._last_received_s[peer.name] = now_s
        effects.append(Send(peer.name, Introduction(self.own, self.voters)))
        known = tuple(
            member
            for member in self.members
            if member.name != peer.name and _needs_link(peer.role, member)
        )
        if known:
            effects.append(Send(peer.name, MemberAddresses(known)))
        effects.append(
            Record('peer connected', subject=peer.name, logged=True),
        )

    def peer_lost(
        self,
        peer: Peer,
        now_s: float,
        effects: list[Effect],
    ) -> None:
        """Records that the last link to a peer went down."""
        self.connected.pop(peer.name, None)
        self._last_received_s.pop(peer.name, None)
        known = self._known.get(peer.name)
        if known is not None:
            known.disconnected_s = now_s
            known.backoff = _DialBackoff(now_s)
        effects.append(Record('peer lost', subject=peer.name, logged=True))

    def introduction_received(
        self,
        message: Introduction,
        now_s: float,
        effects: list[Effect],
    ) -> None:
        """Records a peer's address and forwards it to other peers.

        Args:
            message: The introduction.
            now_s: The process's clock.
            effects: List to which effects are appended.
        """
        member = message.member
        if not self._add_member(member, now_s):
            return
        if self.own.role is not PeerRole.ENTRY:
            return
        for name, peer in self.connected.items():
            if name != member.name and _needs_link(peer.role, member):
                effects.append(Send(name, MemberAddresses((member,))))

    def addresses_received(
        self, message: MemberAddresses, now_s: float
    ) -> None:
        """Records addresses received from a peer.

        Explanation:
            The address that a connected member sent itself has precedence.
        """
        for member in message.members:
            if member.name not in self.connected:
                self._add_member(member, now_s)

    def message_received(self, name: str, now_s: float) -> None:
        """Records that a peer sent a message."""
        if name in self._last_received_s:
            self._last_received_s[name] = now_s

    def tick(self, now_s: float, effects: list[Effect]) -> bool:
        """Dials members and drops peers that timed out.

        Args:
            now_s: The process's clock.
            effects: List to which effects are appended.

        Returns:
            Whether it is time to ping all peers.
        """
        self._ignore_own_pause(now_s)
        for name, received_s in self._last_received_s.items():
            if now_s - received_s > PEER_TIMEOUT_S:
                self._last_received_s[name] = now_s
                effects.append(DropPeer(name))
                effects.append(
                    Record(
                        'link cut',
                        subject=name,
                        detail=f'silent for {now_s - received_s:.2f} s',
                        logged=True,
                    ),
                )
        self._dial_seeds(now_s, effects)
        self._dial_members(now_s, effects)
        if now_s - self._last_ping_s < PING_INTERVAL_S:
            return False
        self._last_ping_s = now_s
        return True

    def _ignore_own_pause(self, now_s: float) -> None:
        # After a pause of this process the peers' messages are still unread,
        # so their timeouts are restarted.
        last_tick_s = self._last_tick_s
        self._last_tick_s = now_s
        if last_tick_s is None or now_s - last_tick_s < PROCESS_PAUSE_S:
            return
        self._last_received_s = dict.fromkeys(self._last_received_s, now_s)

    def _add_member(self, member: MemberAddress, now_s: float) -> bool:
        if member.name == self.own.name:
            return False
        if not _needs_link(self.own.role, member):
            return False
        known = self._known.get(member.name)
        if known is None:
            known = _KnownMember(member, _DialBackoff(now_s), now_s)
            self._known[member.name] = known
            return True
        changed = known.member != member
        known.member = member
        return changed

    def _dial_seeds(self, now_s: float, effects: list[Effect]) -> None:
        connected_hosts = {
            known.member.host
            for name, known in self._known.items()
            if name in self.connected
        }
        for seed, backoff in self._seeds.items():
            if seed.host not in connected_hosts and backoff.is_due(now_s):
                effects.append(Dial(seed.host, seed.port, ''))

    def _dial_members(self, now_s: float, effects: list[Effect]) -> None:
        self._remove_expired(now_s)
        for name, known in self._known.items():
            member = known.member
            if name in self.connected:
                continue
            if not self._should_dial(member, now_s - known.disconnected_s):
                continue
            if known.backoff.is_due(now_s):
                effects.append(Dial(member.host, member.port, name))

    def _remove_expired(self, now_s: float) -> None:
        self._known = {
            name: known
            for name, known in self._known.items()
            if name in self.connected
            or now_s - known.disconnected_s < MEMBER_EXPIRY_S
        }

    def _should_dial(
        self, member: MemberAddress, disconnected_s: float
    ) -> bool:
        if self.own.role is PeerRole.AGENT or disconnected_s > DIAL_TAKEOVER_S:
            return True
        return member.role is PeerRole.ENTRY and self.own.name < member.name


def _needs_link(role: PeerRole, member: MemberAddress) -> bool:
    """Whether a process of a role needs a link to a member."""
    return role is PeerRole.ENTRY or member.role is PeerRole.ENTRY
