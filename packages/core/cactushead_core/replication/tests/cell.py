"""Simulated cell: replicas, disks, drifting clocks, unreliable messages."""

import zlib
from dataclasses import dataclass, field, replace

from cactushead_core.effects import (
    AppendLog,
    SaveSnapshot,
    SaveVote,
    Send,
)
from cactushead_core.events import (
    LogSynced,
    MessageReceived,
    Peer,
    PeerRole,
    SnapshotSaved,
    Tick,
    TurnEnded,
    VoteSaved,
)
from cactushead_core.replication import (
    EntriesCommitted,
    LeaderKnown,
    LeaderReady,
    MemoryCommitted,
    Replica,
    ReplicaSettings,
    SnapshotInstalled,
    SnapshotNeeded,
    StoredLog,
)
from cactushead_core.replication.membership import (
    decode_members,
    is_membership_change,
    is_voter,
)
from cactushead_core.replication.messages import VoteReply, VoteRequest

DRIFT = 0.01
RATES = (1 - DRIFT, 1 + DRIFT, 1.0, 1 + DRIFT, 1 - DRIFT)


def chain_digest(digest, command):
    return zlib.crc32(command, digest)


class Disk:
    """Simulated disk: synced state and a queue of effects not yet synced."""

    def __init__(self, incarnation):
        self.incarnation = incarnation
        self.stored = StoredLog()
        self.queue = []

    def sync(self, count=None):
        """Syncs the oldest queued effects and returns their events."""
        count = len(self.queue) if count is None else count
        done, self.queue = self.queue[:count], self.queue[count:]
        return [self._perform(effect) for effect in done]

    def _perform(self, effect):
        stored = self.stored
        if isinstance(effect, SaveVote):
            self.stored = replace(
                stored, term=effect.term, voted_for=effect.voted_for
            )
            return VoteSaved(0, effect.term, effect.voted_for)
        if isinstance(effect, AppendLog):
            kept = effect.entries[0].index - stored.snapshot_index - 1
            assert 0 <= kept <= len(stored.entries)
            self.stored = replace(
                stored, entries=stored.entries[:kept] + effect.entries
            )
            return LogSynced(
                0, effect.entries[-1].term, effect.entries[-1].index
            )
        position = effect.index - stored.snapshot_index
        entries = stored.entries
        matches = 0 < position <= len(entries) and (
            entries[position - 1].term == effect.term
        )
        self.stored = StoredLog(
            stored.term,
            stored.voted_for,
            effect.term,
            effect.index,
            effect.members,
            effect.state,
            entries[position:] if matches else (),
        )
        return SnapshotSaved(0, effect.term, effect.index)


@dataclass
class Envelope:
    sender: Peer
    receiver: str
    message: object


@dataclass
class Process:
    name: str
    rate: float
    disk: Disk
    replica: Replica | None = None
    incarnation: str = ''
    paused: bool = False
    sync_limit: int | None = None
    applied: int = 0
    digest: int = 0
    ready_term: int = 0
    notices: list = field(default_factory=list)


class Cell:
    """Drives replicas and checks the safety properties of the cell."""

    def __init__(self, size, snapshot_entries=8, drift=DRIFT):
        self.names = tuple('abcde'[:size])
        self.snapshot_entries = snapshot_entries
        self.drift = drift
        self.time_s = 1000.0
        self.serial = 0
        self.messages = []
        self.blocked_links = set()
        self.leaders = {}
        self.entries = {}
        self.committed = {}
        self.digests = {0: 0}
        self.members = ()
        self.disks_lost_before_formation = set()
        self.requests = set()
        self.proposed = 0
        self.processes = {
            name: Process(name, rate, Disk(self._unique_name(f'disk-{name}')))
            for name, rate in zip(self.names, RATES, strict=False)
        }
        for name in self.names:
            self.start(name)

    def _unique_name(self, prefix):
        self.serial += 1
        return f'{prefix}{self.serial}'

    def now_s(self, process):
        return self.time_s * process.rate

    def start(self, name):
        process = self.processes[name]
        if process.replica is not None:
            return
        settings = ReplicaSettings(
            name,
            process.disk.incarnation,
            self.names,
            snapshot_entries=self.snapshot_entries,
            kept_entries=self.snapshot_entries // 2,
            drift=self.drift,
            seed=self.serial,
        )
        process.incarnation = self._unique_name(name)
        process.paused = False
        process.applied = 0
        process.digest = 0
        process.replica = Replica(
            settings, process.disk.stored, self.now_s(process)
        )

    def crash(self, name, kept_effects=0):
        process = self.processes[name]
        process.replica = None
        process.disk.sync(kept_effects)
        process.disk.queue = []

    def can_lose_disk(self, name):
        lost = set(self.disks_lost_before_formation)
        if self.members:
            lost = {
                process.name
                for process in self.processes.values()
                if not is_voter(
                    self.members, process.name, process.disk.incarnation
                )
            }
        return len(lost | {name}) <= (len(self.names) - 1) // 2

    def lose_disk(self, name):
        self.crash(name)
        if not self.members:
            self.disks_lost_before_formation.add(name)
        self.processes[name].disk = Disk(self._unique_name(f'disk-{name}'))

    def transfer_leadership(self, name):
        process = self.processes[name]
        if process.replica is not None and not process.paused:
            self.handle_output(process, process.replica.transfer_leadership())

    def running(self):
        return [
            process
            for process in self.processes.values()
            if process.replica is not None and not process.paused
        ]

    def handle_event(self, process, event):
        event = replace(event, now_s=self.now_s(process))
        self.handle_output(process, process.replica.handle(event))

    def end_turn(self, process):
        self.handle_event(process, TurnEnded(0))

    def handle_output(self, process, output):
        for notice in output.notices:
            self._handle_notice(process, notice)
        for effect in output.effects:
            self._handle_effect(process, effect)

    def _handle_effect(self, process, effect):
        if isinstance(effect, Send):
            if isinstance(effect.message, VoteRequest):
                self._record_vote_request(process, effect)
            if isinstance(effect.message, VoteReply) and effect.message.granted:
                self._check_vote(process, effect)
            sender = Peer(process.name, PeerRole.ENTRY, process.incarnation)
            self.messages.append(Envelope(sender, effect.peer, effect.message))
            return
        if isinstance(effect, AppendLog):
            for entry in effect.entries:
                self._check_entry(process, entry)
        assert isinstance(effect, SaveVote | AppendLog | SaveSnapshot)
        process.disk.queue.append(effect)

    def _record_vote_request(self, process, effect):
        members = process.replica._state.membership.members
        request = effect.message
        assert is_voter(members, effect.peer, request.incarnation)
        key = (process.name, request.term, request.pre_vote)
        self.requests.add((*key, request.incarnation))

    def _check_vote(self, process, effect):
        """Checks that a vote is synced and was requested from this disk."""
        if not effect.message.pre_vote:
            stored = process.disk.stored
            vote = (stored.term, stored.voted_for)
            assert vote == (effect.message.term, effect.peer)
        key = (effect.peer, effect.message.term, effect.message.pre_vote)
        assert (*key, process.disk.incarnation) in self.requests

    def _check_entry(self, process, entry):
        """Checks log matching: term and index determine command and prefix."""
        log = process.replica._state.log
        previous = log.term_at(entry.index - 1) if entry.index > 1 else 0
        known = (entry.command, previous)
        key = (entry.term, entry.index)
        if entry.index == 1 and self.entries.get(key) != known:
            self._check_formation(process, entry)
            self.entries[key] = known
        assert self.entries.setdefault(key, known) == known

    def _check_formation(self, process, entry):
        """Checks that a cell forms again only if no disk has its entry."""
        assert not self.committed
        for other in self.processes.values():
            known_entries = other.disk.stored.entries
            if other.replica is not None and other is not process:
                known_entries += tuple(other.replica._state.log.between(1, 1))
            for effect in other.disk.queue:
                known_entries += getattr(effect, 'entries', ())
            assert all(e == entry for e in known_entries if e.index == 1)

    def _handle_notice(self, process, notice):
        process.notices.append(notice)
        if isinstance(notice, LeaderKnown) and notice.leader == process.name:
            self._check_leader(process, notice.term)
        elif isinstance(notice, EntriesCommitted):
            for entry in notice.entries:
                self._apply(process, entry)
        elif isinstance(notice, SnapshotInstalled):
            assert notice.index > process.applied
            assert int(notice.state) == self.digests[notice.index]
            process.applied = notice.index
            process.digest = int(notice.state)
        elif isinstance(notice, MemoryCommitted):
            assert notice.index <= process.replica.last_index
        elif isinstance(notice, LeaderReady):
            assert notice.term == process.replica.term
            process.ready_term = notice.term
        elif isinstance(notice, SnapshotNeeded):
            state = str(process.digest).encode()
            output = process.replica.compact(process.applied, state)
            self.handle_output(process, output)

    def _apply(self, process, entry):
        assert entry.index == process.applied + 1
        process.applied = entry.index
        process.digest = chain_digest(process.digest, entry.command)
        if entry.index not in self.committed:
            self.digests[entry.index] = process.digest
            if is_membership_change(entry.command):
                self.members = decode_members(entry.command)
        assert self.committed.setdefault(entry.index, entry) == entry
        assert self.digests[entry.index] == process.digest

    def _check_leader(self, process, term):
        leader_incarnation = self.leaders.setdefault(term, process.incarnation)
        assert leader_incarnation == process.incarnation
        log = process.replica._state.log
        for index, entry in self.committed.items():
            if index > log.base_index:
                assert log.has_term_at(index)
                assert log.entry(index) == entry

    def check_leader_lease(self):
        """Checks that no newer leader exists while a lease is valid."""
        leading = [
            process
            for process in self.processes.values()
            if process.replica is not None and process.replica.leads
        ]
        for old in leading:
            if old.replica.has_leader_lease(self.now_s(old)):
                newer = [
                    other.name
                    for other in leading
                    if other.replica.term > old.replica.term
                ]
                assert not newer

    def tick(self, elapsed_s=0.05):
        self.time_s += elapsed_s
        for process in self.running():
            self.handle_event(process, Tick(0))
            self.end_turn(process)

    def deliver(self, position, duplicate=False, end_turn=True):
        envelope = self.messages[position]
        if not duplicate:
            self.messages.pop(position)
        receiver = self.processes.get(envelope.receiver)
        if receiver is None or receiver.replica is None or receiver.paused:
            return
        if (envelope.sender.name, receiver.name) in self.blocked_links:
            return
        self.handle_event(
            receiver, MessageReceived(0, envelope.sender, envelope.message)
        )
        if end_turn:
            self.end_turn(receiver)

    def sync(self, name, count=None):
        process = self.processes[name]
        events = process.disk.sync(count)
        if process.replica is not None:
            for event in events:
                self.handle_event(process, event)
            self.end_turn(process)

    def propose(self, name, count=1):
        process = self.processes[name]
        if process.replica is None or not process.replica.leads:
            return
        commands = []
        for _ in range(count):
            self.proposed += 1
            commands.append(b'command %d' % self.proposed)
        process.replica.propose(commands)
        self.end_turn(process)

    def run(self, rounds, elapsed_s=0.05):
        """Runs rounds that tick, deliver messages in order and sync disks."""
        for _ in range(rounds):
            self.tick(elapsed_s)
            self.settle()

    def settle(self):
        for _ in range(4):
            self.deliver_all()
            for process in self.running():
                if process.disk.queue:
                    self.sync(process.name, process.sync_limit)

    def deliver_all(self):
        """Delivers the queued messages in order; replies remain queued."""
        pending, self.messages = self.messages, []
        for envelope in pending:
            self.messages.insert(0, envelope)
            self.deliver(0)

    def leader(self):
        leading = [
            process
            for process in self.running()
            if process.replica.leads
            and process.replica.has_leader_lease(self.now_s(process))
        ]
        return leading[0] if leading else None

    def run_until_ready(self, rounds=200):
        for _ in range(rounds):
            leader = self.leader()
            if leader and leader.ready_term == leader.replica.term:
                return leader
            self.run(1)
        raise AssertionError('no leader is ready')

    def heal(self):
        """Ends all faults; checks that each replica applies a new command."""
        self.blocked_links.clear()
        for name in self.names:
            self.processes[name].paused = False
            self.processes[name].sync_limit = None
            self.start(name)
        self.run(60)
        leader = self.run_until_ready()
        self.propose(leader.name)
        self.run(40)
        last = max(self.committed)
        assert self.proposed_commands()[-1] == b'command %d' % self.proposed
        assert {p.applied for p in self.processes.values()} == {last}
        assert len({p.digest for p in self.processes.values()}) == 1
        assert all(
            is_voter(self.members, p.name, p.disk.incarnation)
            for p in self.processes.values()
        )

    def proposed_commands(self):
        return [
            self.committed[index].command
            for index in sorted(self.committed)
            if self.committed[index].command.startswith(b'command')
        ]
