"""The reducer of an agent whose upstream runs tasks under leases."""

from ..discovery import Discovery, Introduction, MembersKnown, Ping
from ..effects import Drained, Effect, EventKind, Record, Send
from ..events import (
    DrainRequested,
    Event,
    MessageReceived,
    PeerConnected,
    PeerLost,
    Tick,
    TurnEnded,
)
from ..reducer import Node
from ..tasks import OfferTasks, WithdrawJob
from .events import (
    LeasesRenewed,
    RenewalFailed,
    StartAnswered,
    StopAnswered,
    UpstreamAnnounced,
    UpstreamLeft,
)
from .leases import LeaseKeeper
from .settings import LeasingSettings


class LeasingAgent(Node):
    """An agent of a fleet: discovery and the tasks at its upstream."""

    def __init__(
        self,
        settings: LeasingSettings,
        discovery: Discovery,
    ) -> None:
        """Starts without upstream and links.

        Args:
            settings: Settings.
            discovery: Links to the entries.
        """
        self.settings = settings
        self.discovery = discovery
        self.keeper = LeaseKeeper(settings)
        self._draining = False
        self._drained = False

    def _reduce(self, event: Event, effects: list[Effect]) -> None:
        keeper = self.keeper
        match event:
            case MessageReceived():
                self._on_message(event, effects)
            case UpstreamAnnounced():
                keeper.announced(event, effects)
            case UpstreamLeft():
                keeper.left(event, effects)
            case StartAnswered():
                keeper.start_answered(event, effects)
            case StopAnswered():
                keeper.stop_answered(event, effects)
            case LeasesRenewed():
                keeper.renewed(event, effects)
            case RenewalFailed():
                keeper.renewal_failed(event, effects)
            case PeerConnected():
                self.discovery.link_up(event.peer, event.now_s, effects)
                keeper.entry_connected(event.peer, event.now_s, effects)
            case PeerLost():
                self.discovery.link_down(event.peer, event.now_s, effects)
                keeper.entry_lost(event.peer, event.now_s)
            case Tick():
                self._on_tick(event, effects)
            case DrainRequested():
                self._on_drain(event, effects)
            case TurnEnded():
                keeper.turn_ended(event.now_s, effects)

    def _on_message(
        self,
        event: MessageReceived,
        effects: list[Effect],
    ) -> None:
        self.discovery.heard(event.sender.name, event.now_s)
        message = event.message
        match message:
            case OfferTasks():
                self.keeper.offered(event.sender, message, event.now_s, effects)
            case WithdrawJob():
                self.keeper.withdrawn(
                    event.sender,
                    message.job,
                    event.now_s,
                    effects,
                )
            case Introduction():
                self.discovery.introduced(message, event.now_s, effects)
            case MembersKnown():
                self.discovery.learned(message, event.now_s)

    def _on_tick(self, event: Tick, effects: list[Effect]) -> None:
        if self.discovery.tick(event.now_s, effects):
            effects.extend(
                Send(name, Ping()) for name in self.discovery.connected
            )
        self.keeper.tick(event.now_s, effects)
        if self._draining and self.keeper.idle and not self._drained:
            self._drained = True
            effects.append(Drained())

    def _on_drain(self, event: DrainRequested, effects: list[Effect]) -> None:
        if self._draining:
            return
        self._draining = True
        self.keeper.drain(event.now_s)
        effects.append(
            Record(
                EventKind.DRAIN_STARTED, subject=self.settings.name, logged=True
            ),
        )
