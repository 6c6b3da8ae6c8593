"""An entry's part in storing and spreading configurations."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

from ..effects import Effect, EventKind, LogEntry, Record, Respond, Send
from ..messages.codec import decode_message, encode_message
from ..replication import Replica
from .events import ConfigurationSubmitted, NewestQueried
from .messages import (
    ConfigurationAnswered,
    ConfigurationNotice,
    ConfigurationRecord,
    NewestAsked,
    NewestTold,
    SubmitConfiguration,
)
from .model import Configuration
from .responses import ConfigurationStored, NewestConfiguration, Unavailable
from .routing import QueueTable

# An operator turns to another entry after a second without a response.
ANSWER_S = 0.9
# Three pings of the leader: two lost ones are borne.
CONFIRMED_S = 1.0
NO_VERSION = ConfigurationRecord(0, b'')


class ConfigurationFormat(ABC):
    """How the bytes of a configuration are read."""

    @abstractmethod
    def read(self, source: bytes) -> Configuration:
        """Returns the configuration of bytes that were checked before.

        Args:
            source: Bytes that an operator sent.

        Raises:
            InvalidInputError: The bytes are no valid configuration.
        """


@dataclass(slots=True)
class _Waiter:
    """A request that waits for the leader.

    Attributes:
        request_id: Number under which the shell waits.
        until_s: When the wait is over.
    """

    request_id: int
    until_s: float


@dataclass(slots=True)
class _Proposal:
    """A submission in the leader's log that isn't stored yet."""

    index: int
    entry: str
    attempt: int


class ConfigurationKeeper:
    """The stored configuration, the one in force here, and open requests.

    Explanation:
        Only stored configurations spread, so a process that takes the
        highest version it hears of never has to go back.

    Attributes:
        in_force: The configuration in force here, None before the first.
        queues: Its queues.
    """

    def __init__(
        self,
        name: str,
        file_format: ConfigurationFormat,
    ) -> None:
        """Starts without a configuration.

        Args:
            name: Name of this entry.
            file_format: Reads configurations.
        """
        self.in_force: Configuration | None = None
        self.queues = QueueTable(Configuration(0, b''))
        self._name = name
        self._format = file_format
        self._stored = NO_VERSION
        self._applied_index = 0
        self._attempts = 0
        self._waiters: dict[int, _Waiter] = {}
        self._proposals: list[_Proposal] = []
        self._confirmed_s = float('-inf')

    @property
    def version(self) -> int:
        """Version of the configuration in force here, 0 for none."""
        return 0 if self.in_force is None else self.in_force.version

    def is_confirmed(self, now_s: float) -> bool:
        """Whether a leader said of late that this version is the newest."""
        return now_s - self._confirmed_s < CONFIRMED_S

    # The replicated log.

    def applied(
        self,
        entries: tuple[LogEntry, ...],
        effects: list[Effect],
    ) -> None:
        """Takes entries that a majority has synced."""
        for entry in entries:
            self._applied_index = entry.index
            if not entry.command:
                continue
            record = decode_message(entry.command)
            if isinstance(record, ConfigurationRecord):
                self._store(record, effects)

    def installed(
        self,
        index: int,
        state: bytes,
        effects: list[Effect],
    ) -> None:
        """Takes the state of a snapshot."""
        self._applied_index = index
        record = decode_message(state)
        if isinstance(record, ConfigurationRecord):
            self._store(record, effects)

    def snapshot(self) -> tuple[int, bytes]:
        """Returns the applied index and the state there, encoded."""
        return self._applied_index, encode_message(self._stored)

    # Requests of operators, at any entry.

    def submitted(
        self,
        event: ConfigurationSubmitted,
        leader: str,
        effects: list[Effect],
    ) -> None:
        """Passes a checked configuration to the leader."""
        configuration = event.configuration
        attempt = self._wait(event.request_id, leader, event.now_s, effects)
        if attempt:
            message = SubmitConfiguration(
                attempt,
                configuration.version,
                configuration.source,
            )
            effects.append(Send(leader, message))

    def queried(
        self,
        event: NewestQueried,
        leader: str,
        effects: list[Effect],
    ) -> None:
        """Asks the leader for the newest configuration."""
        attempt = self._wait(event.request_id, leader, event.now_s, effects)
        if attempt:
            effects.append(Send(leader, NewestAsked(attempt)))

    def answered(
        self,
        message: ConfigurationAnswered,
        effects: list[Effect],
    ) -> None:
        """Takes the leader's answer to a submission."""
        waiter = self._waiters.pop(message.attempt, None)
        if waiter is None:
            return
        response = (
            ConfigurationStored()
            if message.stored
            else Unavailable('the leader could not store it')
        )
        effects.append(Respond(waiter.request_id, response))

    def told(self, message: NewestTold, effects: list[Effect]) -> None:
        """Takes the leader's answer to a query."""
        waiter = self._waiters.pop(message.attempt, None)
        if waiter is None:
            return
        if not message.sure:
            effects.append(
                Respond(waiter.request_id, Unavailable('no valid lease')),
            )
            return
        effects.append(
            Respond(
                waiter.request_id,
                NewestConfiguration(message.version, message.source),
            ),
        )

    def gone(self, request_id: int) -> None:
        """Forgets a request whose caller hung up."""
        for attempt, waiter in list(self._waiters.items()):
            if waiter.request_id == request_id:
                self._waiters.pop(attempt)

    def tick(self, now_s: float, effects: list[Effect]) -> None:
        """Answers requests that waited too long."""
        for attempt, waiter in list(self._waiters.items()):
            if now_s >= waiter.until_s:
                self._waiters.pop(attempt)
                response = Unavailable('the leader did not answer')
                effects.append(Respond(waiter.request_id, response))

    # Requests of entries, at the leader.

    def store(
        self,
        sender: str,
        message: SubmitConfiguration,
        replica: Replica | None,
        now_s: float,
        effects: list[Effect],
    ) -> None:
        """Proposes a configuration, or acknowledges an old version."""
        if replica is None or not replica.has_quorum(now_s):
            answer = ConfigurationAnswered(message.attempt, stored=False)
            effects.append(Send(sender, answer))
            return
        if message.version <= self._stored.version:
            answer = ConfigurationAnswered(message.attempt, stored=True)
            effects.append(Send(sender, answer))
            return
        record = ConfigurationRecord(message.version, message.source)
        index = replica.propose([encode_message(record)], memory_wanted=False)
        self._proposals.append(_Proposal(index, sender, message.attempt))

    def tell_newest(
        self,
        sender: str,
        message: NewestAsked,
        replica: Replica | None,
        now_s: float,
        effects: list[Effect],
    ) -> None:
        """Tells the newest configuration if the lease is valid."""
        sure = replica is not None and replica.has_quorum(now_s)
        stored = self._stored if sure else NO_VERSION
        effects.append(
            Send(
                sender,
                NewestTold(
                    message.attempt,
                    sure,
                    stored.version,
                    stored.source,
                ),
            ),
        )

    def answer_stored(self, effects: list[Effect]) -> None:
        """Acknowledges the proposals that are stored by now."""
        waiting = []
        for proposal in self._proposals:
            if proposal.index > self._applied_index:
                waiting.append(proposal)
                continue
            answer = ConfigurationAnswered(proposal.attempt, stored=True)
            effects.append(Send(proposal.entry, answer))
        self._proposals = waiting

    def lost_leadership(self, effects: list[Effect]) -> None:
        """Tells the senders of open proposals that the outcome is open."""
        for proposal in self._proposals:
            answer = ConfigurationAnswered(proposal.attempt, stored=False)
            effects.append(Send(proposal.entry, answer))
        self._proposals = []

    # Spreading.

    def noticed(
        self,
        message: ConfigurationNotice,
        effects: list[Effect],
    ) -> None:
        """Takes a stored configuration of another entry."""
        record = ConfigurationRecord(message.version, message.source)
        self._enforce(record, effects)

    def notice(self) -> ConfigurationNotice | None:
        """Returns what others may take over, None without one."""
        if self.in_force is None:
            return None
        return ConfigurationNotice(self.in_force.version, self.in_force.source)

    def confirmed(self, newest: int, now_s: float) -> None:
        """Takes a leader's word on which version is the newest."""
        if newest <= self.version:
            self._confirmed_s = now_s

    def _store(
        self,
        record: ConfigurationRecord,
        effects: list[Effect],
    ) -> None:
        if record.version > self._stored.version:
            self._stored = record
            self._enforce(record, effects)

    def _enforce(
        self,
        record: ConfigurationRecord,
        effects: list[Effect],
    ) -> None:
        if record.version <= self.version:
            return
        self.in_force = self._format.read(record.source)
        self.queues = QueueTable(self.in_force)
        effects.append(
            Record(
                EventKind.DOCUMENT_IN_FORCE,
                subject=self._name,
                detail=f'version {record.version}',
                logged=True,
            ),
        )

    def _wait(
        self,
        request_id: int,
        leader: str,
        now_s: float,
        effects: list[Effect],
    ) -> int:
        """Returns the number of a new request, 0 without a leader."""
        if not leader:
            response = Unavailable('no leader is known')
            effects.append(Respond(request_id, response))
            return 0
        self._attempts += 1
        self._waiters[self._attempts] = _Waiter(request_id, now_s + ANSWER_S)
        return self._attempts
