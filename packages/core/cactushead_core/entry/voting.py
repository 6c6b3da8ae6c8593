"""The replica of an entry that votes."""

from ..config import EntryConfig
from ..replication import Replica, ReplicaSettings, StoredLog


def make_replica(
    config: EntryConfig,
    stored: StoredLog,
    now_s: float,
) -> Replica | None:
    """Returns the replica of an entry, None for one without a disk.

    Args:
        config: Configuration of the entry.
        stored: Contents of its disk.
        now_s: Monotonic clock.
    """
    if not config.disk_incarnation:
        return None
    settings = ReplicaSettings(
        config.name,
        config.disk_incarnation,
        config.voters,
        heartbeat_s=config.timing.append_s,
        election_timeout_s=config.timing.election_s,
        drift=config.timing.drift,
        seed=config.seed,
    )
    return Replica(settings, stored, now_s)
