"""Makes the agents of a fleet obey evacuations."""

from collections.abc import Callable

from ..discovery import Discovery, MemberAddress
from ..dispatch.agent_views import AgentViews
from ..effects import Count, Effect, Record, Send
from ..evacuation.manager import EvacuationManager
from ..events import PeerRole


class EvacuatedAgents:
    """Marks the agents of evacuated data centres and notifies all processes.

    Explanation:
        The entry offers nothing to marked agents. Agents learn the state too,
        so that they refuse the offers of an entry that doesn't know it yet.
    """

    def __init__(
        self,
        name: str,
        evacuations: EvacuationManager,
        discovery: Discovery,
        agents: AgentViews,
        is_leader: Callable[[], bool],
    ) -> None:
        """Shares the state of the entry.

        Args:
            name: Name of the entry.
            evacuations: Its evacuations.
            discovery: Its links.
            agents: The agents of its dispatcher.
            is_leader: Whether the entry leads now.
        """
        self._name = name
        self._evacuations = evacuations
        self._discovery = discovery
        self._agents = agents
        self._is_leader = is_leader
        self._applied_version = 0
        self._announced_version = 0

    def introduced(self, member: MemberAddress, effects: list[Effect]) -> None:
        """Sends the state to a new peer; marks the peer if it is evacuated.

        Args:
            member: Address of the peer.
            effects: List to which effects are appended.
        """
        if self._evacuations.version:
            effects.append(Send(member.name, self._evacuations.active))
        self._mark(member)

    def end_turn(self, effects: list[Effect]) -> None:
        """Applies a state that came into force in this turn.

        Explanation:
            The leader also announces it to all entries.

        Args:
            effects: List to which effects are appended.
        """
        version = self._evacuations.version
        if version != self._applied_version:
            self._applied_version = version
            self._apply(effects)
        if version != self._announced_version and self._is_leader():
            self._announced_version = version
            self._announce(PeerRole.ENTRY, effects)

    def _apply(self, effects: list[Effect]) -> None:
        self._announce(PeerRole.AGENT, effects)
        for member in self._discovery.members:
            self._mark(member)
        views = self._agents.by_name.values()
        evacuated = [view for view in views if view.evacuated]
        usable = sum(view.usable for view in views)
        effects.extend(
            (
                Count('evacuations', 'applied'),
                Record(
                    'agents evacuated',
                    subject=self._name,
                    detail=f'{len(evacuated)} agents with'
                    f' {sum(len(view.tasks) for view in evacuated)} tasks,'
                    f' {usable or "no"} others usable',
                    logged=True,
                ),
            )
        )

    def _announce(self, role: PeerRole, effects: list[Effect]) -> None:
        effects.extend(
            Send(name, self._evacuations.active)
            for name in self._discovery.peers(role)
        )

    def _mark(self, member: MemberAddress) -> None:
        """Marks an agent; other members are unknown to the dispatcher."""
        data_centres = self._evacuations.active.data_centres
        self._agents.set_evacuated(
            member.name, evacuated=member.data_centre in data_centres
        )
