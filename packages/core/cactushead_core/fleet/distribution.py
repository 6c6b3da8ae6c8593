"""Distribution of the active configuration between entries."""

from ..configuration.manager import ConfigurationManager
from ..configuration.sources import ConfigurationSources
from ..discovery import CONFIGURATION_REQUEST, NO_REQUEST, Discovery, Ping
from ..effects import Effect, Send
from ..evacuation.manager import EvacuationManager
from ..events import PeerRole
from .voter import Voter


class Distribution:
    """Announces versions by pings, and sends configurations on request.

    Explanation:
        A configuration may take long over a narrow link, and pings continue
        meanwhile. So an entry that is behind requests it from one entry, and
        its other pings request nothing. Entries of earlier software request
        it by naming their older version; only the leader answers that.
    """

    def __init__(
        self,
        configuration: ConfigurationManager,
        evacuations: EvacuationManager,
        voter: Voter,
        discovery: Discovery,
    ) -> None:
        """Shares the state of the entry.

        Args:
            configuration: Its configuration.
            evacuations: Its evacuations.
            voter: Its replica of the log.
            discovery: Its links.
        """
        self._configuration = configuration
        self._evacuations = evacuations
        self._voter = voter
        self._discovery = discovery
        self._sources = ConfigurationSources()
        self._announced_version = 0

    def make_ping(self, *, leads: bool) -> Ping:
        """Returns a ping that requests no configuration.

        Args:
            leads: Whether this entry leads with a valid lease.
        """
        version = self._configuration.version
        waits = not version or self._sources.is_behind(version)
        if waits and not leads:
            version = NO_REQUEST
        return self._make_ping(version, leads=leads)

    def ping_received(
        self,
        sender: str,
        ping: Ping,
        now_s: float,
        effects: list[Effect],
    ) -> None:
        """Records an entry's version, and sends it a newer configuration.

        Args:
            sender: The entry.
            ping: Its ping.
            now_s: The process's clock.
            effects: List to which effects are appended.
        """
        version = ping.configuration_version
        if version == NO_REQUEST:
            self._sources.announced(sender, 0)
            return
        self._sources.announced(sender, version)
        self._configuration.version_announced(sender, version, now_s, effects)
        if version != CONFIGURATION_REQUEST and not self._voter.is_leader:
            return
        update = self._configuration.current_update()
        if update is not None and version < update.version:
            effects.append(Send(sender, update))

    def peer_lost(self, name: str) -> None:
        """Records that the link to an entry went down."""
        self._sources.lost(name)

    def end_turn(
        self, leader: str, now_s: float, effects: list[Effect]
    ) -> None:
        """Announces a new version as leader; requests a newer one if behind.

        Args:
            leader: Name of the leader, empty if it is unknown.
            now_s: The process's clock.
            effects: List to which effects are appended.
        """
        if self._voter.is_leader:
            self._announce_version(now_s, effects)
            return
        source = self._sources.next_source(
            self._configuration.version,
            now_s,
            leader=leader,
            from_log=self._voter.follows,
        )
        if source:
            request = self._make_ping(CONFIGURATION_REQUEST, leads=False)
            effects.append(Send(source, request))

    def _announce_version(self, now_s: float, effects: list[Effect]) -> None:
        version = self._configuration.version
        if version == self._announced_version:
            return
        self._announced_version = version
        leads = self._voter.holds_leader_lease(now_s)
        ping = self._make_ping(version, leads=leads)
        effects.extend(
            Send(name, ping) for name in self._discovery.peers(PeerRole.ENTRY)
        )

    def _make_ping(self, version: int, *, leads: bool) -> Ping:
        return Ping(self._voter.term, leads, version, self._evacuations.version)
