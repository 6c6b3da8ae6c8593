"""Measures processor time per log entry of three replicas in one process.

Disks confirm at once and messages pass through their wire form, so that the
figure is the cost of the decisions and of the codec alone.

Usage: bench_replication.py [entries per turn] [entries]
"""

import sys
import time

from cactushead_core.effects import AppendLog, Effect, SaveVote, Send
from cactushead_core.events import (
    Event,
    LogSynced,
    MessageReceived,
    Peer,
    PeerRole,
    Tick,
    TurnEnded,
    VoteSaved,
)
from cactushead_core.messages import decode_frame, encode_frame
from cactushead_core.replication import Replica, ReplicaSettings, StoredLog

NAMES = ('a', 'b', 'c')
TICK_S = 0.05
SNAPSHOT_ENTRIES = 1_000_000_000
COMMAND_SIZE_BYTES = 200
SETTLING_TURNS = 6
MICROSECONDS = 1_000_000


class Trio:
    """Three replicas whose messages arrive one turn later."""

    def __init__(self) -> None:
        """Starts with empty disks."""
        self.now_s = 0.0
        self.frames: list[tuple[Peer, str, bytes]] = []
        self.replicas = {
            name: Replica(
                ReplicaSettings(
                    name,
                    f'{name}1',
                    NAMES,
                    snapshot_entries=SNAPSHOT_ENTRIES,
                ),
                StoredLog(),
                self.now_s,
            )
            for name in NAMES
        }

    def elect(self) -> Replica:
        """Runs until a replica leads, and returns it."""
        while True:
            self.now_s += TICK_S
            for name in NAMES:
                self._feed(name, Tick(self.now_s))
            self.settle()
            for replica in self.replicas.values():
                if replica.leads:
                    return replica

    def settle(self) -> None:
        """Runs turns until nothing is on its way."""
        for _ in range(SETTLING_TURNS):
            self.turn()

    def turn(self) -> None:
        """Delivers all messages and ends the turn of each replica."""
        frames = self.frames
        self.frames = []
        for sender, receiver, frame in frames:
            for message in decode_frame(frame):
                event = MessageReceived(self.now_s, sender, message)
                self._feed(receiver, event)
        for name in NAMES:
            self._feed(name, TurnEnded(self.now_s))

    def _feed(self, name: str, event: Event) -> None:
        for effect in self.replicas[name].handle(event).effects:
            self._perform(name, effect)

    def _perform(self, name: str, effect: Effect) -> None:
        if isinstance(effect, Send):
            sender = Peer(name, PeerRole.ENTRY, name)
            frame = encode_frame([effect.message])
            self.frames.append((sender, effect.peer, frame))
        elif isinstance(effect, AppendLog):
            last = effect.entries[-1]
            self._feed(name, LogSynced(self.now_s, last.term, last.index))
        elif isinstance(effect, SaveVote):
            saved = VoteSaved(self.now_s, effect.term, effect.voted_for)
            self._feed(name, saved)


def main(batch: int = 100, entries: int = 50_000) -> None:
    """Proposes entries in batches and prints the cost of each.

    Args:
        batch: Entries proposed in one turn.
        entries: Entries in all.
    """
    cell = Trio()
    leader = cell.elect()
    cell.settle()
    before = leader.committed_index
    command = bytes(COMMAND_SIZE_BYTES)
    commands = [command for _ in range(batch)]
    started_s = time.process_time()
    for _ in range(entries // batch):
        leader.propose(commands)
        cell.turn()
    cell.settle()
    spent_s = time.process_time() - started_s
    committed = leader.committed_index - before
    cost_us = spent_s / committed * MICROSECONDS
    sys.stdout.write(
        f'{committed} entries, {batch} a turn: {cost_us:.1f} us per entry'
        f' for three replicas, {cost_us / len(NAMES):.1f} us per voter\n',
    )


if __name__ == '__main__':
    main(*[int(argument) for argument in sys.argv[1:]])
