"""Records how configurations arrive at an entry."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ConfigurationStatus:
    """How far the configuration of an entry is.

    Attributes:
        version: Version of the active configuration, 0 without one.
        newest_known: The newest version that any entry has announced.
        behind_s: Time since which a newer one is known, 0 if none is.
        superfluous_copies: Received copies of configurations that were not
            newer than the active one.
        superfluous_bytes: Their size.
    """

    version: int
    newest_known: int
    behind_s: float
    superfluous_copies: int
    superfluous_bytes: int


class Arrivals:
    """Announced versions, and copies that were received in vain.

    Explanation:
        Only for logs and metrics; `ConfigurationSources` decides what to ask
        for.
    """

    def __init__(self) -> None:
        """Starts without a configuration."""
        self._version = 0
        self._newest_known = 0
        self._behind_since_s: float | None = None
        self._superfluous_copies = 0
        self._superfluous_bytes = 0
        self._reported_copies = 0

    def announced(self, version: int, now_s: float) -> bool:
        """Records that an entry has a configuration.

        Args:
            version: Its version.
            now_s: The process's clock.

        Returns:
            Whether this entry is behind since now.
        """
        self._newest_known = max(self._newest_known, version)
        if version <= self._version or self._behind_since_s is not None:
            return False
        self._behind_since_s = now_s
        return True

    def superfluous(self, size_bytes: int) -> None:
        """Records a copy that was not newer than the active configuration.

        Args:
            size_bytes: Its size.
        """
        self._superfluous_copies += 1
        self._superfluous_bytes += size_bytes

    def activated(self, version: int) -> str:
        """Records that a configuration became active.

        Args:
            version: Its version.

        Returns:
            How it arrived, for the log.
        """
        copies = self._superfluous_copies - self._reported_copies
        self._reported_copies = self._superfluous_copies
        self._version = version
        self._newest_known = max(self._newest_known, version)
        if version == self._newest_known:
            self._behind_since_s = None
        return (
            f'newest known {self._newest_known}, {copies} superfluous copies'
            ' since the last'
        )

    def status(self, now_s: float) -> ConfigurationStatus:
        """Returns how far the configuration is.

        Args:
            now_s: The process's clock.
        """
        since_s = self._behind_since_s
        return ConfigurationStatus(
            self._version,
            self._newest_known,
            0.0 if since_s is None else now_s - since_s,
            self._superfluous_copies,
            self._superfluous_bytes,
        )
