"""The reducer of an entry of a fleet."""

from ..configuration.events import ConfigurationSubmitted, NewestRequested
from ..configuration.manager import ConfigurationFormat, ConfigurationManager
from ..discovery import (
    Discovery,
    Introduction,
    LinkReleased,
    MemberAddresses,
    Ping,
)
from ..dispatch import Dispatcher
from ..dispatch.events import BestEffortSubmitted, CancelRequested
from ..effects import Drained, Effect, EventKind, Record, Send
from ..evacuation import EvacuationRequested
from ..evacuation.manager import EvacuationManager
from ..events import (
    CallerDisconnected,
    DrainRequested,
    Event,
    MessageInProgress,
    MessageReceived,
    Peer,
    PeerConnected,
    PeerLost,
    PeerRole,
    ProcessResumed,
    Tick,
    TurnEnded,
)
from ..loopback import extract_self_sends
from ..reducer import Node
from ..replication import StoredLog
from ..tasks import (
    CrashingJobFound,
    RunsEnded,
    UpstreamCrashed,
    UpstreamLoad,
    UpstreamReport,
)
from .cancellations import Cancellations
from .distribution import Distribution
from .evacuated_agents import EvacuatedAgents
from .membership_report import MembershipReport, MembershipStatus
from .messages import CancelJob, CancelJobReply
from .settings import FleetSettings
from .state_machine import StateMachine
from .state_messages import StateMessages
from .voter import Voter
from .voter_selection import VoterSelection


class FleetEntry(Node):
    """An entry that dispatches best-effort jobs and stores configurations.

    Attributes:
        configuration: The active configuration.
        evacuations: The evacuated data centres.
        dispatcher: Dispatcher of the open jobs.
    """

    def __init__(
        self,
        settings: FleetSettings,
        incarnation: str,
        stored: StoredLog,
        file_format: ConfigurationFormat,
        now_s: float,
    ) -> None:
        """Initializes the entry from the contents of its disk.

        Args:
            settings: Settings.
            incarnation: Identity of this start of the process.
            stored: Contents of the disk; empty without one.
            file_format: Decoder of configurations.
            now_s: The process's clock.
        """
        super().__init__()
        name = settings.own.name
        self.settings = settings
        self.configuration = ConfigurationManager(name, file_format)
        self.evacuations = EvacuationManager(name, settings.data_centres)
        self.discovery = Discovery(settings.own, settings.seeds)
        self.dispatcher = Dispatcher(
            settings.dispatch,
            seed=settings.seed,
            find_entries=lambda: self.discovery.peers(PeerRole.ENTRY),
        )
        state_machine = StateMachine(self.configuration, self.evacuations)
        self.voter = Voter(settings, stored, state_machine, now_s)
        self._state_messages = StateMessages(
            self.configuration, self.evacuations, self.voter
        )
        self._distribution = Distribution(
            self.configuration, self.evacuations, self.voter, self.discovery
        )
        self._evacuated_agents = EvacuatedAgents(
            name,
            self.evacuations,
            self.discovery,
            self.dispatcher.agents,
            lambda: self.voter.is_leader,
        )
        self._cancellations = Cancellations(
            self.discovery,
            self.dispatcher,
            settings.dispatch.outcome_retention_s,
        )
        self._voter_selection = VoterSelection(settings, self.discovery)
        self._membership_report = MembershipReport(
            self.voter, self.discovery, lambda: self.leader
        )
        self._own_peer = Peer(name, PeerRole.ENTRY, incarnation)
        self._leader = ''
        self._leader_term = 0
        self._drained = False
        self._was_leader = False

    @property
    def leader(self) -> str:
        """Name of the leader, empty if it is unknown."""
        if self.voter.is_leader:
            return self.settings.own.name
        if self._leader in self.discovery.connected:
            return self._leader
        return ''

    @property
    def membership(self) -> MembershipStatus:
        """What this entry knows about the voters."""
        return self._membership_report.status()

    def can_reject_unknown_queue(self, now_s: float) -> bool:
        """Whether the active configuration is confirmed as the newest.

        Explanation:
            If so, a queue that it does not contain does not exist.

        Args:
            now_s: The process's clock.
        """
        return self.configuration.is_confirmed(now_s)

    def _reduce(self, event: Event, effects: list[Effect]) -> None:
        if not isinstance(event, TurnEnded):
            self.voter.handle(event, effects)
        self._handle(event, effects)
        if isinstance(event, TurnEnded):
            self._end_turn(event, effects)
        for message in extract_self_sends(effects, self.settings.own.name):
            loop = MessageReceived(event.now_s, self._own_peer, message)
            self._on_message(loop, effects)
        self.discovery.record_sends(effects, event.now_s)

    def _handle(self, event: Event, effects: list[Effect]) -> None:
        now_s = event.now_s
        match event:
            case MessageReceived():
                self.discovery.message_received(event.sender.name, now_s)
                self._on_message(event, effects)
            case BestEffortSubmitted():
                self.dispatcher.on_submitted(event, effects)
            case CancelRequested():
                self._cancellations.requested(event, effects)
            case CallerDisconnected():
                self._on_caller_disconnected(event.request_id, now_s, effects)
            case ConfigurationSubmitted():
                self.configuration.configuration_submitted(
                    event, self.leader, effects
                )
            case NewestRequested():
                self.configuration.newest_requested(event, self.leader, effects)
            case EvacuationRequested():
                self.evacuations.requested(event, self.leader, effects)
            case Tick():
                self._on_tick(event, effects)
            case MessageInProgress(sender=sender):
                self.discovery.message_in_progress(sender.name, now_s)
            case ProcessResumed():
                self._on_resumed(now_s)
            case PeerConnected():
                self._on_peer_connected(event, effects)
            case PeerLost():
                self._on_peer_lost(event, effects)
            case DrainRequested():
                self._on_drain_requested(effects)

    def _end_turn(self, event: TurnEnded, effects: list[Effect]) -> None:
        self.voter.handle(event, effects)
        self._evacuated_agents.end_turn(effects)
        self._distribution.end_turn(self.leader, event.now_s, effects)
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
                self.dispatcher.on_runs_ended(sender, message, now_s, effects)
            case UpstreamLoad():
                self.dispatcher.agents.load_received(sender, message)
            case UpstreamReport():
                self.dispatcher.on_upstream_report(
                    sender, message, now_s, effects
                )
            case UpstreamCrashed():
                self.dispatcher.crashing_jobs.upstream_crashed(
                    message, now_s, effects
                )
            case CrashingJobFound():
                self._on_crashing_job_found(sender, message, now_s, effects)
            case Ping():
                self._on_ping(sender, message, now_s, effects)
            case Introduction():
                self._on_introduction(message, effects)
            case MemberAddresses():
                self.discovery.addresses_received(message)
            case LinkReleased():
                self.discovery.link_released(sender.name, effects)
            case CancelJob():
                self._cancellations.asked(sender.name, message, now_s, effects)
            case CancelJobReply():
                self._cancellations.replied(sender.name, message, effects)
            case _:
                self._state_messages.received(
                    sender.name, message, now_s, effects
                )

    def _on_caller_disconnected(
        self, request_id: int, now_s: float, effects: list[Effect]
    ) -> None:
        self.configuration.caller_disconnected(request_id)
        self.evacuations.caller_disconnected(request_id)
        self._cancellations.caller_disconnected(request_id)
        self.dispatcher.on_caller_disconnected(request_id, now_s, effects)

    def _on_crashing_job_found(
        self,
        sender: Peer,
        message: CrashingJobFound,
        now_s: float,
        effects: list[Effect],
    ) -> None:
        """Records a crashing job; passes it on if this entry has all links."""
        new = self.dispatcher.crashing_jobs.found_elsewhere(
            message, now_s, effects
        )
        if new and self.settings.own.disk_incarnation:
            effects.extend(
                Send(name, message)
                for name in self.discovery.peers(PeerRole.ENTRY)
                if name != sender.name
            )

    def _on_tick(self, event: Tick, effects: list[Effect]) -> None:
        now_s = event.now_s
        if not self.voter.voters:
            self._select_voters(now_s, effects)
        if self.voter.needs_contacts:
            self.voter.set_contacts(self._find_contacts())
        leads = self.voter.holds_leader_lease(now_s)
        if leads:
            self.configuration.confirm_newest(self.configuration.version, now_s)
        # A new leader announces itself immediately.
        elected = leads and not self._was_leader
        self._was_leader = leads
        due = self.discovery.tick(now_s, effects, self._active_peers)
        if elected:
            due = list(self.discovery.connected)
        if due:
            ping = self._distribution.make_ping(leads=leads)
            effects.extend(Send(name, ping) for name in due)
        self.configuration.tick(now_s, effects)
        self.evacuations.tick(now_s, effects)
        self._cancellations.tick(now_s, effects)
        self._membership_report.tick(now_s, effects)
        self.dispatcher.tick(now_s, effects)

    def _select_voters(self, now_s: float, effects: list[Effect]) -> None:
        selected = self._voter_selection.select(now_s, effects)
        if selected:
            self._announce_selection(selected, effects)

    def _active_peers(self) -> set[str]:
        """Returns the peers whose silence has to be noticed soon."""
        agents = {
            view.name for view in self.dispatcher.views.values() if view.tasks
        }
        return agents.union(self.discovery.peers(PeerRole.ENTRY))

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
            self._voter_selection.end()
            self.configuration.confirm_newest(ping.configuration_version, now_s)
        if sender.role is not PeerRole.ENTRY:
            return
        self._distribution.ping_received(sender.name, ping, now_s, effects)
        if ping.evacuations_version < self.evacuations.version:
            effects.append(Send(sender.name, self.evacuations.active))

    def _on_introduction(
        self, message: Introduction, effects: list[Effect]
    ) -> None:
        self.discovery.introduction_received(message)
        self._evacuated_agents.introduced(message.member, effects)
        if self.voter.voters:
            return
        if self._voter_selection.receive(message.voters):
            self._announce_selection(message.voters, effects)

    def _find_contacts(self) -> tuple[str, ...]:
        """Returns the entries that may know the membership."""
        leader = self.leader
        return (leader,) if leader else tuple(self.discovery.connected_disks())

    def _announce_selection(
        self, voters: tuple[str, ...], effects: list[Effect]
    ) -> None:
        self.voter.select_voters(voters)
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
        voters = self.voter.voters or self._voter_selection.selected
        self.discovery.peer_connected(peer, event.now_s, effects, voters)
        if peer.role is PeerRole.AGENT:
            self.dispatcher.agents.connected(peer)
        else:
            self._cancellations.peer_connected(peer.name, effects)

    def _on_peer_lost(self, event: PeerLost, effects: list[Effect]) -> None:
        self.discovery.peer_lost(event.peer, event.now_s, effects)
        self._cancellations.peer_lost(event.peer.name, effects)
        self._distribution.peer_lost(event.peer.name)
        if event.peer.role is PeerRole.AGENT:
            self.dispatcher.agents.lost(event.peer, event.now_s)

    def _on_resumed(self, now_s: float) -> None:
        self.discovery.resumed(now_s)
        self.dispatcher.resumed()

    def _on_drain_requested(self, effects: list[Effect]) -> None:
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
        self.voter.transfer_leadership(effects)
