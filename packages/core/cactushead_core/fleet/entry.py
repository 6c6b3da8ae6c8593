"""The reducer of a fleet's entry."""

from ..configuration import (
    ConfigurationAnswered,
    ConfigurationNotice,
    NewestAsked,
    NewestTold,
    SubmitConfiguration,
)
from ..configuration.events import ConfigurationSubmitted, NewestQueried
from ..configuration.keeper import ConfigurationFormat, ConfigurationKeeper
from ..discovery import Discovery, Introduction, MembersKnown, Ping
from ..dispatch import Dispatcher
from ..dispatch.events import BestEffortSubmitted, WithdrawRequested
from ..effects import Drained, Effect, EventKind, Record, Send
from ..events import (
    CallerDisconnected,
    DrainRequested,
    Event,
    MessageReceived,
    Peer,
    PeerConnected,
    PeerLost,
    PeerRole,
    Tick,
    TurnEnded,
)
from ..loopback import extract_self_sends
from ..messages.base import Message
from ..reducer import Node
from ..replication import StoredLog
from ..tasks import RunsEnded, UpstreamLoad, UpstreamReport
from .settings import FleetSettings
from .voter import Voter
from .voters import VoterChoice


class FleetEntry(Node):
    """An entry that dispatches best-effort jobs and stores configurations.

    Attributes:
        configuration: The configuration in force.
        dispatcher: The open jobs.
    """

    def __init__(
        self,
        settings: FleetSettings,
        incarnation: str,
        stored: StoredLog,
        file_format: ConfigurationFormat,
        now_s: float,
    ) -> None:
        """Starts from what the disk held.

        Args:
            settings: Settings.
            incarnation: Identity of this run of the process.
            stored: Contents of the disk; empty without one.
            file_format: Reads configurations.
            now_s: The process's clock.
        """
        name = settings.own.name
        self.settings = settings
        self.configuration = ConfigurationKeeper(name, file_format)
        self.dispatcher = Dispatcher(settings.dispatch, seed=settings.seed)
        self.discovery = Discovery(settings.own, settings.seeds)
        self.voter = Voter(settings, stored, self.configuration, now_s)
        self._choice = VoterChoice(settings, self.discovery)
        self._self = Peer(name, PeerRole.ENTRY, incarnation)
        self._leader = ''
        self._leader_term = 0
        self._told_version = 0
        self._drained = False
        self._led = False

    @property
    def leader(self) -> str:
        """Name of the leader, empty when it is unknown."""
        if self.voter.leads:
            return self.settings.own.name
        if self._leader in self.discovery.connected:
            return self._leader
        return ''

    def can_refuse_unknown(self, now_s: float) -> bool:
        """Whether a queue that isn't configured here doesn't exist.

        Args:
            now_s: The process's clock.
        """
        return self.configuration.is_confirmed(now_s)

    def _reduce(self, event: Event, effects: list[Effect]) -> None:
        if not isinstance(event, TurnEnded):
            self.voter.handle(event, effects)
        self._dispatch(event, effects)
        if isinstance(event, TurnEnded):
            self._end_turn(event, effects)
        for message in extract_self_sends(effects, self.settings.own.name):
            loop = MessageReceived(event.now_s, self._self, message)
            self._on_message(loop, effects)

    def _dispatch(self, event: Event, effects: list[Effect]) -> None:
        now_s = event.now_s
        match event:
            case MessageReceived():
                self.discovery.heard(event.sender.name, now_s)
                self._on_message(event, effects)
            case BestEffortSubmitted():
                self.dispatcher.submitted(event, effects)
            case WithdrawRequested():
                self.dispatcher.withdraw_requested(event, effects)
            case CallerDisconnected():
                self.configuration.gone(event.request_id)
                self.dispatcher.caller_gone(event.request_id, now_s, effects)
            case ConfigurationSubmitted():
                self.configuration.submitted(event, self.leader, effects)
            case NewestQueried():
                self.configuration.queried(event, self.leader, effects)
            case Tick():
                self._on_tick(event, effects)
            case PeerConnected():
                self._on_peer_connected(event, effects)
            case PeerLost():
                self._on_peer_lost(event, effects)
            case DrainRequested():
                self._on_drain(effects)

    def _end_turn(self, event: TurnEnded, effects: list[Effect]) -> None:
        self.voter.handle(event, effects)
        self._spread(effects)
        if self.dispatcher.draining and self.dispatcher.idle:
            self._end_drain(effects)

    def _end_drain(self, effects: list[Effect]) -> None:
        if not self._drained:
            self._drained = True
            effects.append(Drained())

    def _on_message(
        self,
        event: MessageReceived,
        effects: list[Effect],
    ) -> None:
        sender = event.sender
        message = event.message
        now_s = event.now_s
        match message:
            case RunsEnded():
                self.dispatcher.ended(sender, message, now_s, effects)
            case UpstreamLoad():
                self.dispatcher.loaded(sender, message)
            case UpstreamReport():
                self.dispatcher.reported(sender, message, now_s, effects)
            case Ping():
                self._on_ping(sender, message, now_s, effects)
            case Introduction():
                self._on_introduction(sender, message, now_s, effects)
            case MembersKnown():
                self.discovery.learned(message, now_s)
            case _:
                self._on_configuration_message(
                    sender.name,
                    message,
                    now_s,
                    effects,
                )

    def _on_configuration_message(
        self,
        sender: str,
        message: Message,
        now_s: float,
        effects: list[Effect],
    ) -> None:
        keeper = self.configuration
        replica = self.voter.deciding()
        match message:
            case SubmitConfiguration():
                keeper.store(sender, message, replica, now_s, effects)
            case NewestAsked():
                keeper.tell_newest(sender, message, replica, now_s, effects)
            case ConfigurationAnswered():
                keeper.answered(message, effects)
            case NewestTold():
                keeper.told(message, effects)
            case ConfigurationNotice():
                keeper.noticed(message, effects)

    def _on_tick(self, event: Tick, effects: list[Effect]) -> None:
        now_s = event.now_s
        if not self.discovery.voters:
            chosen = self._choice.tick(now_s, effects)
            self._learn_voters(chosen, now_s, effects)
        leads = self.voter.leads_now(now_s)
        if leads:
            self.configuration.confirmed(self.configuration.version, now_s)
        # A new leader says so at once.
        news = leads and not self._led
        self._led = leads
        if self.discovery.tick(now_s, effects) or news:
            ping = Ping(self.voter.term, leads, self.configuration.version)
            effects.extend(
                Send(name, ping) for name in self.discovery.connected
            )
        self.configuration.tick(now_s, effects)
        self.dispatcher.tick(now_s, effects)

    def _on_ping(
        self,
        sender: Peer,
        ping: Ping,
        now_s: float,
        effects: list[Effect],
    ) -> None:
        if ping.leads and ping.term >= self._leader_term:
            self._leader = sender.name
            self._leader_term = ping.term
            self.voter.leader_told(sender.name)
            self.configuration.confirmed(ping.held_version, now_s)
        if sender.role is not PeerRole.ENTRY:
            return
        notice = self.configuration.notice()
        if notice is not None and ping.held_version < notice.version:
            effects.append(Send(sender.name, notice))

    def _on_introduction(
        self,
        sender: Peer,
        message: Introduction,
        now_s: float,
        effects: list[Effect],
    ) -> None:
        self.discovery.introduced(message, now_s, effects)
        self._learn_voters(message.voters, now_s, effects)

    def _learn_voters(
        self,
        voters: tuple[str, ...],
        now_s: float,
        effects: list[Effect],
    ) -> None:
        if not voters or self.discovery.voters:
            return
        self.discovery.voters = voters
        self.voter.chosen(voters, now_s)
        introduction = Introduction(self.settings.own, voters)
        effects.extend(
            Send(name, introduction)
            for name in self.discovery.peers(PeerRole.ENTRY)
        )

    def _on_peer_connected(
        self,
        event: PeerConnected,
        effects: list[Effect],
    ) -> None:
        peer = event.peer
        self.discovery.link_up(peer, event.now_s, effects)
        if peer.role is PeerRole.AGENT:
            self.dispatcher.agent_connected(peer)

    def _on_peer_lost(self, event: PeerLost, effects: list[Effect]) -> None:
        self.discovery.link_down(event.peer, event.now_s, effects)
        if event.peer.role is PeerRole.AGENT:
            self.dispatcher.agent_lost(event.peer, event.now_s)

    def _on_drain(self, effects: list[Effect]) -> None:
        if self.dispatcher.draining:
            return
        self.dispatcher.drain()
        effects.append(
            Record(
                EventKind.DRAIN_STARTED,
                subject=self.settings.own.name,
                logged=True,
            ),
        )
        self.voter.hand_over(effects)

    def _spread(self, effects: list[Effect]) -> None:
        """Tells all entries of a new version, if this one leads."""
        version = self.configuration.version
        if version == self._told_version or not self.voter.leads:
            return
        self._told_version = version
        notice = self.configuration.notice()
        if notice is not None:
            effects.extend(
                Send(name, notice)
                for name in self.discovery.peers(PeerRole.ENTRY)
            )
