"""Storage with an additional delay, to simulate slower disks."""

import time
from collections.abc import Sequence

from cactushead_core.effects import Effect
from cactushead_core.replication import StoredLog

from .storage import Storage


class DelayedStorage(Storage):
    """Delays each batch of writes to another storage."""

    def __init__(self, inner: Storage, sync_delay_s: float) -> None:
        """Wraps a storage.

        Args:
            inner: Storage that keeps the state.
            sync_delay_s: Delay after each batch of writes.
        """
        self._inner = inner
        self._sync_delay_s = sync_delay_s

    @property
    def incarnation(self) -> str:
        """Identity of the wrapped storage."""
        return self._inner.incarnation

    @property
    def is_from_first_start(self) -> bool:
        """Whether the wrapped storage is from the first start."""
        return self._inner.is_from_first_start

    def _load(self) -> StoredLog:
        return self._inner.load()

    def _perform(self, effects: Sequence[Effect]) -> None:
        self._inner._perform(effects)  # noqa: WPS437
        time.sleep(self._sync_delay_s)

    def _close(self) -> None:
        self._inner.close()
