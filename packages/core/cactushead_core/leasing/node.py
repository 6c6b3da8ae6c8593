"""The reducer of an agent whose upstream runs tasks under leases."""

from ..discovery import (
    Discovery,
    Introduction,
    LinkReleased,
    MemberAddresses,
    Ping,
)
from ..effects import Drained, Effect, EventKind, Record, Send
from ..evacuation import EvacuationState
from ..events import (
    DrainRequested,
    Event,
    MessageInProgress,
    MessageReceived,
    PeerConnected,
    PeerLost,
    ProcessResumed,
    Tick,
    TurnEnded,
)
from ..reducer import Node
from ..tasks import CancelBestEffortJob, OfferTasks
from .events import (
    HeartbeatReceived,
    LeasesRenewed,
    RenewalFailed,
    StartCallCompleted,
    StopCallCompleted,
    UpstreamDeregistered,
)
from .lease_manager import LeaseManager
from .settings import LeasingSettings


class LeasingAgent(Node):
    """An agent of a fleet: discovery and the leases at its upstream."""

    def __init__(
        self,
        settings: LeasingSettings,
        discovery: Discovery,
    ) -> None:
        """Initializes the agent without an upstream or links.

        Args:
            settings: Settings.
            discovery: Links to the entries.
        """
        super().__init__()
        self.settings = settings
        self.discovery = discovery
        self.manager = LeaseManager(settings)
        self._evacuations = EvacuationState()
        self._draining = False
        self._drained = False
        self._turn_began_s: float | None = None

    @property
    def quiet(self) -> bool:
        """Whether no timer is due soon."""
        return (
            self.manager.quiet and self.discovery.settled and not self._draining
        )

    def _reduce(self, event: Event, effects: list[Effect]) -> None:
        if self._turn_began_s is None:
            self._turn_began_s = event.now_s
        # Before any event can start or renew a run whose owner has given it up.
        self.manager.expire_owners(event.now_s, effects)
        if isinstance(event, MessageInProgress):
            self.discovery.message_in_progress(event.sender.name, event.now_s)
        self._handle(event, effects)
        self.discovery.record_sends(effects, event.now_s)

    def _handle(self, event: Event, effects: list[Effect]) -> None:
        manager = self.manager
        match event:
            case ProcessResumed():
                self.discovery.resumed(event.now_s)
                manager.resumed(event)
            case MessageReceived():
                self._on_message(event, effects)
            case HeartbeatReceived():
                manager.heartbeat_received(event, effects)
            case UpstreamDeregistered():
                manager.deregistered(event, effects)
            case StartCallCompleted():
                manager.start_completed(event, effects)
            case StopCallCompleted():
                manager.stop_completed(event)
            case LeasesRenewed():
                manager.leases_renewed(event, effects)
            case RenewalFailed():
                manager.renewal_failed(event, effects)
            case PeerConnected():
                self.discovery.peer_connected(event.peer, event.now_s, effects)
                manager.entry_connected(event.peer, event.now_s, effects)
            case PeerLost():
                self.discovery.peer_lost(event.peer, event.now_s, effects)
                manager.entry_lost(event.peer, event.now_s)
            case Tick():
                self._on_tick(event, effects)
            case DrainRequested():
                self._on_drain_requested(event, effects)
            case TurnEnded():
                manager.end_turn(event.now_s, effects, self._turn_began_s)
                self._turn_began_s = None

    def _on_message(
        self,
        event: MessageReceived,
        effects: list[Effect],
    ) -> None:
        if self.discovery.message_received(event.sender.name, event.now_s):
            self.manager.renew_session(event.sender, effects)
        self.manager.entry_heard(event.sender, event.now_s)
        message = event.message
        match message:
            case OfferTasks():
                self.manager.tasks_offered(
                    event.sender, message, event.now_s, effects
                )
            case CancelBestEffortJob():
                self.manager.job_cancelled(
                    event.sender,
                    message.job,
                    event.now_s,
                    effects,
                )
            case Introduction():
                self.discovery.introduction_received(message)
            case MemberAddresses():
                self.discovery.addresses_received(message)
            case EvacuationState():
                self._on_evacuation_state(message, event.now_s, effects)

    def _on_evacuation_state(
        self,
        state: EvacuationState,
        now_s: float,
        effects: list[Effect],
    ) -> None:
        """Obeys the newest state; entries may send older ones later."""
        if state.version <= self._evacuations.version:
            return
        self._evacuations = state
        evacuated = self.discovery.own.data_centre in state.data_centres
        self.manager.set_evacuated(now_s, effects, evacuated=evacuated)
        effects.append(
            Record(
                'evacuations in force',
                subject=self.settings.name,
                detail=f'version {state.version}, evacuated: {evacuated}',
                logged=True,
            ),
        )

    def _on_tick(self, event: Tick, effects: list[Effect]) -> None:
        now_s = event.now_s
        find_owners = self.manager.runs.owner_names
        due = self.discovery.tick(now_s, effects, find_owners)
        effects.extend(Send(name, Ping()) for name in due)
        released = self.manager.release(self.discovery.find_surplus(now_s))
        effects.extend(Send(name, LinkReleased()) for name in released)
        self.manager.tick(now_s, effects)
        if self._draining and self.manager.idle and not self._drained:
            self._drained = True
            effects.append(Drained())

    def _on_drain_requested(
        self, event: DrainRequested, effects: list[Effect]
    ) -> None:
        if self._draining:
            return
        self._draining = True
        self.manager.drain(event.now_s, effects)
        effects.append(
            Record(
                EventKind.DRAIN_STARTED, subject=self.settings.name, logged=True
            ),
        )
