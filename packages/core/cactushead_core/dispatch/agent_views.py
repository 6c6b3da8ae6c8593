"""The agents that an entry knows."""

from ..events import Peer
from ..tasks import UpstreamLoad
from .agent_view import AgentView


class AgentViews:
    """Views of agents by name, from their first link to their removal.

    Attributes:
        by_name: The views.
    """

    def __init__(self, removal_s: float) -> None:
        """Starts without agents.

        Args:
            removal_s: Time after the loss of its link by which the runs of
                an agent have ended.
        """
        self.by_name: dict[str, AgentView] = {}
        self._removal_s = removal_s

    def find(self, name: str) -> AgentView | None:
        """Returns the view of an agent, None if it is unknown.

        Args:
            name: Name of the agent.
        """
        return self.by_name.get(name)

    def connected(self, peer: Peer) -> None:
        """Adds or updates an agent whose link is up; its report follows.

        Args:
            peer: The agent.
        """
        view = self.by_name.setdefault(peer.name, AgentView(peer.name))
        view.connected = True
        view.session = 0

    def lost(self, peer: Peer, now_s: float) -> None:
        """Records the time at which the link of an agent was lost.

        Args:
            peer: The agent.
            now_s: The monotonic clock of the process.
        """
        view = self.by_name.get(peer.name)
        if view is not None:
            view.connected = False
            view.lost_s = now_s

    def set_evacuated(self, name: str, *, evacuated: bool) -> None:
        """Records whether the data centre of an agent is evacuated.

        Args:
            name: Name of the agent.
            evacuated: Whether nothing may be offered to it.
        """
        view = self.by_name.get(name)
        if view is not None:
            view.evacuated = evacuated

    def load_received(self, sender: Peer, load: UpstreamLoad) -> None:
        """Updates the load of an agent.

        Args:
            sender: The agent.
            load: Its load report.
        """
        view = self.by_name.get(sender.name)
        if view is not None:
            view.update_load(load)

    def expired(self, now_s: float) -> list[AgentView]:
        """Returns the lost agents whose runs have ended by now.

        Args:
            now_s: The monotonic clock of the process.
        """
        return [
            view
            for view in self.by_name.values()
            if not view.connected and now_s - view.lost_s >= self._removal_s
        ]
