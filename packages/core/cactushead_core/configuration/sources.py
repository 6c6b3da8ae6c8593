"""Choice of the entry that is asked for a newer configuration."""

# As long as a silent link is kept.
REQUEST_TIMEOUT_S = 1.0
# A copy may take longer than a time-out on a narrow link; more copies would
# take longer still.
MAX_REQUEST_TIMEOUT_S = 8.0
# A voter gets a committed configuration with the next heartbeat of the leader;
# this tolerates two lost ones.
LOG_WAIT_S = 0.5


class ConfigurationSources:
    """Entries with newer configurations, and the one that was asked.

    Explanation:
        One entry is asked at a time, so that at most one copy is on its way
        over a narrow link, and that the next request gets the version that is
        newest by then.
    """

    def __init__(self) -> None:
        """Starts without known entries."""
        self._versions: dict[str, int] = {}
        self._newest_known = 0
        self._own_version = 0
        self._behind_since_s: float | None = None
        self._asked = ''
        self._retry_s = 0.0
        self._timeout_s = REQUEST_TIMEOUT_S

    def announced(self, name: str, version: int) -> None:
        """Records the version that a connected entry has.

        Args:
            name: The entry.
            version: Version of its configuration.
        """
        self._versions[name] = version
        self._newest_known = max(self._newest_known, version)

    def lost(self, name: str) -> None:
        """Removes an entry whose link went down, with what it would send.

        Args:
            name: The entry.
        """
        self._versions.pop(name, None)
        if name == self._asked:
            self._asked = ''

    def is_behind(self, own_version: int) -> bool:
        """Whether a newer version than this entry's is known.

        Args:
            own_version: Version of the active configuration.
        """
        return own_version < self._newest_known

    def next_source(
        self,
        own_version: int,
        now_s: float,
        *,
        leader: str,
        from_log: bool,
    ) -> str:
        """Returns the entry to ask now, empty if none is to be asked.

        Args:
            own_version: Version of the active configuration.
            now_s: The process's clock.
            leader: Name of the leader, empty if it is unknown.
            from_log: Whether the replicated log brings newer versions too.
        """
        if own_version != self._own_version:
            self._own_version = own_version
            self._behind_since_s = None
            self._asked = ''
            self._timeout_s = REQUEST_TIMEOUT_S
        if not self.is_behind(own_version):
            return ''
        if self._behind_since_s is None:
            self._behind_since_s = now_s
        if from_log and now_s - self._behind_since_s < LOG_WAIT_S:
            return ''
        if self._asked and now_s < self._retry_s:
            return ''
        return self._ask(own_version, now_s, leader)

    def _ask(self, own_version: int, now_s: float, leader: str) -> str:
        newer = [
            name
            for name, version in self._versions.items()
            if version > own_version
        ]
        if not newer:
            return ''
        timed_out = self._asked
        if timed_out:
            self._timeout_s = min(2 * self._timeout_s, MAX_REQUEST_TIMEOUT_S)
        self._asked = max(
            newer,
            key=lambda name: (
                name != timed_out,
                self._versions[name],
                name == leader,
            ),
        )
        self._retry_s = now_s + self._timeout_s
        return self._asked
