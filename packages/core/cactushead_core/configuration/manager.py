"""Stores configurations in the replicated log and distributes them."""

from abc import ABC, abstractmethod

from ..effects import Effect, EventKind, LogEntry, Record, Respond, Send
from ..messages.codec import decode_message, encode_message
from ..replication import Replica
from .arrivals import Arrivals, ConfigurationStatus
from .events import ConfigurationSubmitted, NewestRequested
from .messages import (
    ConfigurationRecord,
    ConfigurationUpdate,
    NewestReply,
    NewestRequest,
    SubmissionReply,
    SubmitConfiguration,
)
from .model import Configuration
from .requests import LeaderRequests, Proposals
from .responses import ConfigurationStored, NewestConfiguration, Unavailable
from .routing import QueueTable

# Three pings of the leader, which tolerates two lost ones.
CONFIRMATION_LIFETIME_S = 1.0
NO_RECORD = ConfigurationRecord(0, b'')


class ConfigurationFormat(ABC):
    """Decoder of the bytes of a configuration."""

    @abstractmethod
    def read(self, source: bytes) -> Configuration:
        """Decodes a configuration that was validated before.

        Args:
            source: Bytes submitted by an operator.

        Raises:
            InvalidInputError: The bytes are not a valid configuration.
        """


class ConfigurationManager:
    """Manages the stored and the active configuration and open requests.

    Explanation:
        Only committed configurations are distributed, so a process that
        activates the highest version it receives never has to roll back.

    Attributes:
        active: The active configuration, None before the first.
        queues: Routing table of its queues.
    """

    def __init__(
        self,
        name: str,
        file_format: ConfigurationFormat,
    ) -> None:
        """Initializes the manager without a configuration.

        Args:
            name: Name of this entry.
            file_format: Decoder of configurations.
        """
        self.active: Configuration | None = None
        self.queues = QueueTable(Configuration(0, b''))
        self._name = name
        self._format = file_format
        self._stored = NO_RECORD
        self._applied_index = 0
        self._requests = LeaderRequests()
        self._proposals = Proposals(SubmissionReply)
        self._confirmed_s = float('-inf')
        self._arrivals = Arrivals()

    @property
    def version(self) -> int:
        """Version of the active configuration, 0 without one."""
        return 0 if self.active is None else self.active.version

    def status(self, now_s: float) -> ConfigurationStatus:
        """Returns how far the active configuration is."""
        return self._arrivals.status(now_s)

    def is_confirmed(self, now_s: float) -> bool:
        """Whether a leader recently confirmed this version as the newest."""
        return now_s - self._confirmed_s < CONFIRMATION_LIFETIME_S

    # The replicated log.

    def entries_committed(
        self,
        entries: tuple[LogEntry, ...],
        effects: list[Effect],
    ) -> None:
        """Applies committed log entries."""
        for entry in entries:
            self._applied_index = entry.index
            if not entry.command:
                continue
            record = decode_message(entry.command)
            if isinstance(record, ConfigurationRecord):
                self._store(record, effects)

    def snapshot_installed(
        self,
        index: int,
        record: ConfigurationRecord,
        effects: list[Effect],
    ) -> None:
        """Replaces the state by that of a snapshot."""
        self._applied_index = index
        self._store(record, effects)

    @property
    def stored(self) -> ConfigurationRecord:
        """The newest committed configuration."""
        return self._stored

    # Requests of operators, handled at any entry.

    def configuration_submitted(
        self,
        event: ConfigurationSubmitted,
        leader: str,
        effects: list[Effect],
    ) -> None:
        """Forwards a validated configuration to the leader."""
        configuration = event.configuration
        attempt = self._requests.open(
            event.request_id, leader, event.now_s, effects
        )
        if attempt:
            message = SubmitConfiguration(
                attempt,
                configuration.version,
                configuration.source,
            )
            effects.append(Send(leader, message))

    def newest_requested(
        self,
        event: NewestRequested,
        leader: str,
        effects: list[Effect],
    ) -> None:
        """Requests the newest configuration from the leader."""
        attempt = self._requests.open(
            event.request_id, leader, event.now_s, effects
        )
        if attempt:
            effects.append(Send(leader, NewestRequest(attempt)))

    def submission_replied(
        self,
        message: SubmissionReply,
        effects: list[Effect],
    ) -> None:
        """Responds to the operator with the result of a submission."""
        request_id = self._requests.close(message.attempt)
        if request_id is None:
            return
        response = (
            ConfigurationStored()
            if message.stored
            else Unavailable('the leader could not store it')
        )
        effects.append(Respond(request_id, response))

    def newest_replied(
        self, message: NewestReply, effects: list[Effect]
    ) -> None:
        """Responds to the operator with the newest configuration."""
        request_id = self._requests.close(message.attempt)
        if request_id is None:
            return
        if not message.known:
            effects.append(
                Respond(request_id, Unavailable('no valid lease')),
            )
            return
        effects.append(
            Respond(
                request_id,
                NewestConfiguration(message.version, message.source),
            ),
        )

    def caller_disconnected(self, request_id: int) -> None:
        """Removes the requests of a caller that disconnected."""
        self._requests.caller_disconnected(request_id)

    def tick(self, now_s: float, effects: list[Effect]) -> None:
        """Responds to requests that timed out."""
        self._requests.tick(now_s, effects)

    # Requests of entries, handled at the leader.

    def store(
        self,
        sender: str,
        message: SubmitConfiguration,
        replica: Replica | None,
        now_s: float,
        effects: list[Effect],
    ) -> None:
        """Proposes a configuration, or acknowledges one that is not newer."""
        if replica is None or not replica.has_leader_lease(now_s):
            reply = SubmissionReply(message.attempt, stored=False)
            effects.append(Send(sender, reply))
            return
        if message.version <= self._stored.version:
            reply = SubmissionReply(message.attempt, stored=True)
            effects.append(Send(sender, reply))
            return
        record = ConfigurationRecord(message.version, message.source)
        index = replica.propose(
            [encode_message(record)], memory_ack_requested=False
        )
        self._proposals.add(index, sender, message.attempt)

    def send_newest(
        self,
        sender: str,
        message: NewestRequest,
        replica: Replica | None,
        now_s: float,
        effects: list[Effect],
    ) -> None:
        """Replies with the newest configuration under a valid leader lease."""
        known = replica is not None and replica.has_leader_lease(now_s)
        stored = self._stored if known else NO_RECORD
        effects.append(
            Send(
                sender,
                NewestReply(
                    message.attempt,
                    known,
                    stored.version,
                    stored.source,
                ),
            ),
        )

    def acknowledge_stored(self, effects: list[Effect]) -> None:
        """Acknowledges the proposals that are committed."""
        self._proposals.acknowledge(self._applied_index, effects)

    def leadership_lost(self, effects: list[Effect]) -> None:
        """Replies to the senders of open proposals: the outcome is unknown."""
        self._proposals.discard(effects)

    # Distribution to other entries.

    def update_received(
        self,
        sender: str,
        message: ConfigurationUpdate,
        effects: list[Effect],
    ) -> None:
        """Activates a configuration received from another entry, if newer."""
        if message.version <= self.version:
            self._arrivals.superfluous(len(message.source))
            return
        record = ConfigurationRecord(message.version, message.source)
        self._activate(record, sender, effects)

    def version_announced(
        self,
        sender: str,
        version: int,
        now_s: float,
        effects: list[Effect],
    ) -> None:
        """Records the version that another entry has."""
        if not self._arrivals.announced(version, now_s):
            return
        effects.append(
            Record(
                'configuration behind',
                subject=self._name,
                detail=f'version {self.version}, {sender} has {version}',
                logged=True,
            ),
        )

    def current_update(self) -> ConfigurationUpdate | None:
        """Returns the message that distributes the active configuration.

        Returns:
            The message, None without an active configuration.
        """
        if self.active is None:
            return None
        return ConfigurationUpdate(self.active.version, self.active.source)

    def confirm_newest(self, newest: int, now_s: float) -> None:
        """Records a leader's statement of the newest version."""
        if newest <= self.version:
            self._confirmed_s = now_s

    def _store(
        self,
        record: ConfigurationRecord,
        effects: list[Effect],
    ) -> None:
        if record.version > self._stored.version:
            self._stored = record
            if record.version > self.version:
                self._activate(record, 'the log', effects)

    def _activate(
        self,
        record: ConfigurationRecord,
        sender: str,
        effects: list[Effect],
    ) -> None:
        self.active = self._format.read(record.source)
        self.queues = QueueTable(self.active)
        arrival = self._arrivals.activated(record.version)
        effects.append(
            Record(
                EventKind.DOCUMENT_IN_FORCE,
                subject=self._name,
                detail=f'version {record.version} from {sender}; {arrival}',
                logged=True,
            ),
        )
