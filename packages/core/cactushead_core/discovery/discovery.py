"""Maintains the links that a process of a fleet needs."""

from collections.abc import Callable, Collection, Iterable

from ..effects import Effect, Record, Send
from ..events import Peer, PeerRole
from .announcements import Announcements
from .effects import Dial, DropPeer
from .keepalive import Keepalive
from .members import DialBackoff, KnownMember, Members
from .messages import Introduction, MemberAddresses, Ping
from .model import Endpoint, MemberAddress
from .subset import (
    ENTRIES_PER_AGENT,
    MAX_FULL_MESH_ENTRIES,
    PEERS_PER_ENTRY,
    REPLACEMENTS_PER_FAILED_ENTRY,
    Subset,
)

# By then the side that should dial first has had one attempt and its answer.
DIAL_TAKEOVER_S = 1.5
# A selected entry that is missing for this long is replaced by another one; a
# process that was killed is usually back by then.
REPLACEMENT_S = 1.0
# An agent keeps a link that it doesn't need for this long, since the missing
# entries of its selection may be about to return.
RELEASE_S = 2.0


class Discovery:
    """Known members, the links to keep, and failure detection.

    Explanation:
        A process dials its seeds, sends each peer the entries that it knows,
        and learns others from its peers. An agent keeps links to a bounded
        subset of the entries. An entry keeps links to the agents that chose
        it, to all entries with a disk, and to a few others. Of two processes
        that need a link one dials; the other side dials too after
        `DIAL_TAKEOVER_S`, so that a process that restarts while all its seeds
        are down is found by members that know it.
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
        self._seeds = {
            seed: DialBackoff() for seed in seeds if seed != own.endpoint
        }
        self._members = Members(own)
        self._keepalive = Keepalive()
        self._announcements = Announcements()
        self._is_agent = own.role is PeerRole.AGENT
        self._subset = (
            Subset(
                own.name,
                ENTRIES_PER_AGENT,
                MAX_FULL_MESH_ENTRIES,
                REPLACEMENTS_PER_FAILED_ENTRY,
            )
            if self._is_agent
            else Subset(own.name, PEERS_PER_ENTRY, PEERS_PER_ENTRY)
        )
        self._wanted: frozenset[str] = frozenset()
        self._surplus_since_s: dict[str, float] = {}
        # Whether members or links have changed since the last selection.
        self._changed = True
        self._seeds_missing = True

    @property
    def members(self) -> tuple[MemberAddress, ...]:
        """All known members except this process."""
        return tuple(known.member for known in self._members)

    @property
    def settled(self) -> bool:
        """Whether all links that this process needs are up."""
        return bool(self._wanted) and self._wanted <= self.connected.keys()

    def peers(self, role: PeerRole) -> list[str]:
        """Returns the names of the connected peers of a role."""
        return [
            name for name, peer in self.connected.items() if peer.role is role
        ]

    def connected_disks(self) -> list[str]:
        """Returns the names of the connected entries that have a disk."""
        return [
            member.name
            for member in self._members.entries()
            if member.disk_incarnation and member.name in self.connected
        ]

    def peer_connected(
        self,
        peer: Peer,
        now_s: float,
        effects: list[Effect],
        voters: tuple[str, ...] = (),
    ) -> None:
        """Sends a new peer this process's address and the known entries.

        Args:
            peer: The process at the other end.
            now_s: The process's clock.
            effects: List to which effects are appended.
            voters: The voters that the peer is told.
        """
        self._changed = True
        self.connected[peer.name] = peer
        self._keepalive.connected(peer.name, now_s)
        effects.append(Send(peer.name, Introduction(self.own, voters)))
        entries = tuple(
            member
            for member in self._members.entries()
            if member.name != peer.name
        )
        if entries:
            effects.append(Send(peer.name, MemberAddresses(entries)))
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
        self._changed = True
        self.connected.pop(peer.name, None)
        self._keepalive.lost(peer.name)
        self._announcements.discard(peer.name)
        known = self._members.find(peer.name)
        if known is not None:
            known.missing_s = None
        effects.append(Record('peer lost', subject=peer.name, logged=True))

    def introduction_received(self, message: Introduction) -> None:
        """Records a peer's address and announces an entry to other peers."""
        member = message.member
        if not self._is_relevant(member) or not self._add(member):
            return
        if not self._is_agent and member.role is PeerRole.ENTRY:
            self._announce(member, self.connected.values())

    def addresses_received(self, message: MemberAddresses) -> None:
        """Records addresses received from a peer.

        Explanation:
            The address that a connected member sent itself has precedence.
            Only an entry that was unknown is announced to other entries, so
            that two of them with different addresses of the same member don't
            exchange these forever.
        """
        for member in message.members:
            if (
                member.role is PeerRole.ENTRY
                and member.name not in self.connected
            ):
                self._add_announced(member)

    def resumed(self, now_s: float) -> None:
        """Restarts the time-outs of the peers after a pause of this process.

        Args:
            now_s: The process's clock.
        """
        self._keepalive.resumed(now_s)

    def message_received(self, name: str, now_s: float) -> bool:
        """Records that a peer sent a message.

        Returns:
            Whether the message may have been held up for long.
        """
        return self._keepalive.received(name, now_s)

    def message_in_progress(self, name: str, now_s: float) -> None:
        """Records that a part of a peer's message arrived."""
        self._keepalive.in_progress(name, now_s)

    def record_sends(self, effects: Iterable[Effect], now_s: float) -> None:
        """Records which peers need no ping, as they are sent a message.

        Explanation:
            Between entries only pings count, because they carry the leader
            and the version of the configuration.

        Args:
            effects: Effects of one event.
            now_s: The process's clock.
        """
        for effect in effects:
            if not isinstance(effect, Send):
                continue
            peer = self.connected.get(effect.peer)
            if peer is None:
                continue
            between_entries = not self._is_agent and peer.role is PeerRole.ENTRY
            if not between_entries or isinstance(effect.message, Ping):
                self._keepalive.sent(effect.peer, now_s)

    def link_released(self, name: str, effects: list[Effect]) -> None:
        """Closes the link of a peer that doesn't need it any more."""
        self._changed = True
        self._members.remove(name)
        effects.append(DropPeer(name))

    def tick(
        self,
        now_s: float,
        effects: list[Effect],
        find_active: Callable[[], Collection[str]] = tuple,
    ) -> list[str]:
        """Dials members and drops peers that timed out.

        Args:
            now_s: The process's clock.
            effects: List to which effects are appended.
            find_active: Returns the names of the peers with open work on
                their links.

        Returns:
            Names of the peers to ping.
        """
        due, silent = self._keepalive.tick(now_s, find_active)
        for peer in silent:
            effects.append(DropPeer(peer.name))
            effects.append(
                Record(
                    'link cut',
                    subject=peer.name,
                    detail=f'silent for {peer.silence_s:.2f} s',
                    logged=True,
                ),
            )
        if self._changed or self._seeds_missing or not self.settled:
            self._changed = False
            self._dial_seeds(now_s, effects)
            self._dial_members(now_s, effects)
        self._announcements.send_due(now_s, effects)
        return due

    def find_surplus(self, now_s: float) -> list[str]:
        """Returns the entries whose links an agent should release.

        Args:
            now_s: The process's clock.
        """
        surplus = self.connected.keys() - self._wanted
        if not surplus or not self.settled:
            self._surplus_since_s = {}
            return []
        self._surplus_since_s = {
            name: self._surplus_since_s.get(name, now_s) for name in surplus
        }
        return sorted(
            name
            for name, since_s in self._surplus_since_s.items()
            if now_s - since_s >= RELEASE_S
        )

    def _add_announced(self, member: MemberAddress) -> None:
        is_new = self._members.find(member.name) is None
        if not self._add(member) or self._is_agent:
            return
        to_entries = is_new and bool(self.own.disk_incarnation)
        receivers = [
            peer
            for peer in self.connected.values()
            if to_entries or peer.role is PeerRole.AGENT
        ]
        self._announce(member, receivers)

    def _add(self, member: MemberAddress) -> bool:
        is_changed = self._members.add(member)
        self._changed = self._changed or is_changed
        return is_changed

    def _is_relevant(self, member: MemberAddress) -> bool:
        return not self._is_agent or member.role is PeerRole.ENTRY

    def _announce(self, member: MemberAddress, peers: Iterable[Peer]) -> None:
        for peer in peers:
            if peer.name != member.name:
                self._announcements.add(peer.name, member)

    def _dial_seeds(self, now_s: float, effects: list[Effect]) -> None:
        # Entries always dial their seeds, so that parts of a fleet that
        # started on the two sides of a partition join after it.
        if self._is_agent and self.settled:
            self._seeds_missing = False
            return
        connected_hosts = {
            known.member.host
            for known in self._members
            if known.member.name in self.connected
        }
        missing = [
            seed for seed in self._seeds if seed.host not in connected_hosts
        ]
        self._seeds_missing = bool(missing)
        effects.extend(
            Dial(seed.host, seed.port, '')
            for seed in missing
            if self._seeds[seed].is_due(now_s)
        )

    def _dial_members(self, now_s: float, effects: list[Effect]) -> None:
        self._members.remove_expired(now_s)
        self._wanted = self._select(now_s)
        for known in self._members:
            member = known.member
            if member.name in self.connected or member.name not in self._wanted:
                known.missing_s = None
                continue
            if known.missing_s is None:
                known.missing_s = now_s
                known.backoff = DialBackoff(now_s)
            if self._should_dial(known, now_s) and known.backoff.is_due(now_s):
                effects.append(Dial(member.host, member.port, member.name))

    def _select(self, now_s: float) -> frozenset[str]:
        """Returns the names of the members to which links are needed."""

        def is_reachable(name: str) -> bool:
            known = self._members.find(name)
            return name in self.connected or (
                known is not None and known.missing_for_s(now_s) < REPLACEMENT_S
            )

        entries = self._members.entries()
        if self._is_agent:
            names = [member.name for member in entries]
            return self._subset.select(
                names, is_reachable, self.connected.__contains__
            )
        if self.own.disk_incarnation:
            return frozenset(known.member.name for known in self._members)
        diskless = [
            member.name for member in entries if not member.disk_incarnation
        ]
        others = frozenset(
            known.member.name
            for known in self._members
            if known.member.role is PeerRole.AGENT
            or known.member.disk_incarnation
        )
        return others | self._subset.select(
            diskless, is_reachable, self.connected.__contains__
        )

    def _should_dial(self, known: KnownMember, now_s: float) -> bool:
        if self._is_agent or known.missing_for_s(now_s) > DIAL_TAKEOVER_S:
            return True
        member = known.member
        if member.role is PeerRole.AGENT:
            return False
        own_disk = bool(self.own.disk_incarnation)
        other_disk = bool(member.disk_incarnation)
        if own_disk != other_disk:
            return other_disk
        return self.own.name < member.name
