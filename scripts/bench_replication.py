"""Measures the CPU time per log entry of three replicas in one process.

Simulated disks confirm writes immediately and messages are encoded and decoded
as frames, so the result is the cost of the replication logic and the codec
alone.

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
DELIVERY_TURNS = 6
US_PER_S = 1_000_000


class ReplicaGroup:
    """Three replicas that receive each message one turn after it is sent."""

    def __init__(self) -> None:
        """Creates replicas with empty logs."""
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
        """Advances time until a leader is elected, and returns it."""
        while True:
            self.now_s += TICK_S
            for name in NAMES:
                self._deliver(name, Tick(self.now_s))
            self.deliver_pending()
            for replica in self.replicas.values():
                if replica.leads:
                    return replica

    def deliver_pending(self) -> None:
        """Runs enough turns to deliver all messages and their replies."""
        for _ in range(DELIVERY_TURNS):
            self.run_turn()

    def run_turn(self) -> None:
        """Delivers the sent messages and ends the turn of each replica."""
        frames = self.frames
        self.frames = []
        for sender, receiver, frame in frames:
            for message in decode_frame(frame):
                event = MessageReceived(self.now_s, sender, message)
                self._deliver(receiver, event)
        for name in NAMES:
            self._deliver(name, TurnEnded(self.now_s))

    def _deliver(self, name: str, event: Event) -> None:
        for effect in self.replicas[name].handle(event).effects:
            self._apply_effect(name, effect)

    def _apply_effect(self, name: str, effect: Effect) -> None:
        if isinstance(effect, Send):
            sender = Peer(name, PeerRole.ENTRY, name)
            frame = encode_frame([effect.message])
            self.frames.append((sender, effect.peer, frame))
        elif isinstance(effect, AppendLog):
            last = effect.entries[-1]
            self._deliver(name, LogSynced(self.now_s, last.term, last.index))
        elif isinstance(effect, SaveVote):
            saved = VoteSaved(self.now_s, effect.term, effect.voted_for)
            self._deliver(name, saved)


def main(batch: int = 100, entries: int = 50_000) -> None:
    """Proposes entries in batches and prints the CPU time per entry.

    Args:
        batch: Entries proposed in one turn.
        entries: Total number of entries.
    """
    group = ReplicaGroup()
    leader = group.elect()
    group.deliver_pending()
    first_index = leader.committed_index
    command = bytes(COMMAND_SIZE_BYTES)
    commands = [command for _ in range(batch)]
    started_s = time.process_time()
    for _ in range(entries // batch):
        leader.propose(commands)
        group.run_turn()
    group.deliver_pending()
    cpu_s = time.process_time() - started_s
    committed = leader.committed_index - first_index
    cost_us = cpu_s / committed * US_PER_S
    sys.stdout.write(
        f'{committed} entries, {batch} a turn: {cost_us:.1f} us per entry'
        f' for three replicas, {cost_us / len(NAMES):.1f} us per voter\n',
    )


if __name__ == '__main__':
    main(*[int(argument) for argument in sys.argv[1:]])
