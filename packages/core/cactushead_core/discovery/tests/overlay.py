"""A fleet of which only the discovery runs, in virtual time."""

import zlib
from collections import Counter

from cactushead_core.discovery import (
    Dial,
    Discovery,
    DropPeer,
    Endpoint,
    Introduction,
    LinkReleased,
    MemberAddress,
    MemberAddresses,
    Ping,
)
from cactushead_core.effects import Send
from cactushead_core.events import Peer, PeerRole

ENTRY_TICK_S = 0.05
# Ticks of an entry between two of a quiet agent.
AGENT_TICKS = 5
PORT = 7
DISKS = 5


class Overlay:
    """Processes with links, of which any may be down or unreachable.

    Attributes:
        now_s: The virtual time.
        nodes: Discovery of each process that is up.
        links: Pairs of names of linked processes, sorted.
        sent: Number of messages by sender since the last reset.
    """

    def __init__(self, entries, agents):
        self.now_s = 100.0
        self.nodes = {}
        self.links = set()
        self.sent = Counter()
        self.cut = set()
        self.busy = {}
        self._members = {}
        self._starts = Counter()
        names = [f'e{number:03d}' for number in range(entries)]
        # The seeds have no disk, as in a fleet whose seeds were exchanged.
        self.seeds = tuple(Endpoint(name, PORT) for name in names[-3:])
        for number, name in enumerate(names):
            self.add(name, PeerRole.ENTRY, disk=number < DISKS)
        for number in range(agents):
            self.add(f'a{number:03d}', PeerRole.AGENT)

    def add(self, name, role, *, disk=False):
        self._members[name] = MemberAddress(
            name, role, name, PORT, '', 'disk' if disk else ''
        )
        self.start(name)

    def start(self, name):
        self._starts[name] += 1
        self.nodes[name] = Discovery(self._members[name], self.seeds)

    def kill(self, name):
        self.nodes.pop(name)
        for pair in [pair for pair in self.links if name in pair]:
            self._unlink(*pair)

    def peer(self, name):
        role = self._members[name].role
        return Peer(name, role, f'{name}/{self._starts[name]}')

    def run(self, duration_s):
        end_s = self.now_s + duration_s
        turn = 0
        while self.now_s < end_s:
            self.now_s += ENTRY_TICK_S
            turn += 1
            for name, node in list(self.nodes.items()):
                is_agent = node.own.role is PeerRole.AGENT
                ticks = AGENT_TICKS if is_agent else 1
                phase = zlib.crc32(name.encode()) % ticks
                if turn % ticks == phase or not node.settled:
                    self._tick(name, node)

    def links_of(self, name):
        return {
            other for pair in self.links if name in pair for other in pair
        } - {name}

    def agents_of(self, name):
        return {one for one in self.links_of(name) if one.startswith('a')}

    def _tick(self, name, node):
        effects = []
        due = node.tick(self.now_s, effects, lambda: self._active(name, node))
        effects.extend(Send(peer, Ping()) for peer in due)
        if node.own.role is PeerRole.AGENT:
            effects.extend(
                Send(peer, LinkReleased())
                for peer in node.find_surplus(self.now_s)
            )
        node.record_sends(effects, self.now_s)
        self._perform(name, effects)

    def _active(self, name, node):
        busy = self.busy.get(name, frozenset())
        if node.own.role is PeerRole.AGENT:
            return busy
        return busy | set(node.peers(PeerRole.ENTRY))

    def _perform(self, name, effects):
        for effect in effects:
            match effect:
                case Dial():
                    self._link(name, effect.host)
                case DropPeer():
                    self._unlink(*sorted((name, effect.name)))
                case Send():
                    self._deliver(name, effect)

    def _deliver(self, name, effect):
        pair = tuple(sorted((name, effect.peer)))
        if pair not in self.links:
            return
        self.sent[name] += 1
        if pair in self.cut:
            return
        node = self.nodes[effect.peer]
        node.message_received(name, self.now_s)
        effects = []
        match effect.message:
            case Introduction():
                node.introduction_received(effect.message)
            case MemberAddresses():
                node.addresses_received(effect.message)
            case LinkReleased():
                node.link_released(name, effects)
        self._perform(effect.peer, effects)

    def _link(self, name, other):
        pair = tuple(sorted((name, other)))
        if other not in self.nodes or pair in self.links or pair in self.cut:
            return
        self.links.add(pair)
        for one, two in (pair, pair[::-1]):
            effects = []
            self.nodes[one].peer_connected(self.peer(two), self.now_s, effects)
            self._perform(one, effects)

    def _unlink(self, one, two):
        self.links.discard((one, two))
        for name, other in ((one, two), (two, one)):
            if name in self.nodes:
                peer = self.peer(other)
                self.nodes[name].peer_lost(peer, self.now_s, [])
