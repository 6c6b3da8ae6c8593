"""How long the owners of an agent's runs are known to count on them."""

from collections.abc import Collection, Iterator

from ..events import Peer

# All messages that arrived during a pause of the process are read by then.
UNREAD_S = 0.1

_NEVER_S = float('inf')


class OwnershipTimes:
    """Time at which each owner's claim to its runs lapses.

    Explanation:
        An owner gives up an agent some time after it has lost the link, and
        places the tasks elsewhere. The agent must have dropped them by then,
        so a claim lapses at a time after the newest sign of its owner, by a
        clock that goes on while the agent is paused. A message that arrived
        during a pause counts from the beginning of the pause, since its owner
        may have given up the agent right after it was sent.
    """

    def __init__(self, silence_s: float, grace_s: float) -> None:
        """Starts without owners.

        Args:
            silence_s: Time after the newest sign of an owner at which its
                claim lapses.
            grace_s: Time after the loss of its link at which it lapses.
        """
        self._silence_s = silence_s
        self._grace_s = grace_s
        self._lapse_s: dict[Peer, float] = {}
        # No claim lapses earlier.
        self._earliest_s = _NEVER_S
        self._resumed_s = -_NEVER_S
        self._paused_s = -_NEVER_S

    def __iter__(self) -> Iterator[Peer]:
        """Iterates over the owners that are known now."""
        return iter(tuple(self._lapse_s))

    def resumed(self, paused_s: float, now_s: float) -> None:
        """Records a pause of this process.

        Explanation:
            If the process is paused again before all messages are read, the
            unread ones may be from the earlier pause.

        Args:
            paused_s: Time of the last event before the pause.
            now_s: The agent's clock.
        """
        if paused_s - self._resumed_s >= UNREAD_S:
            self._paused_s = paused_s
        self._resumed_s = now_s

    def add(self, owner: Peer, now_s: float) -> None:
        """Records a sign of an owner that has runs.

        Args:
            owner: The owner.
            now_s: The agent's clock.
        """
        sign_s = now_s
        if now_s - self._resumed_s < UNREAD_S:
            sign_s = self._paused_s
        lapse_s = max(
            sign_s + self._silence_s, self._lapse_s.get(owner, -_NEVER_S)
        )
        self._lapse_s[owner] = lapse_s
        self._earliest_s = min(self._earliest_s, lapse_s)

    def heard(self, owner: Peer, now_s: float) -> None:
        """Records a sign of a process, which may be an owner.

        Args:
            owner: The process.
            now_s: The agent's clock.
        """
        if owner in self._lapse_s:
            self.add(owner, now_s)

    def disconnected(self, owner: Peer, now_s: float) -> None:
        """Records that the link of a process, maybe an owner, was lost.

        Args:
            owner: The process.
            now_s: The agent's clock.
        """
        lapse_s = self._lapse_s.get(owner)
        if lapse_s is not None:
            self._lapse_s[owner] = min(lapse_s, now_s + self._grace_s)
            self._earliest_s = min(self._earliest_s, self._lapse_s[owner])

    def remove(self, owner: Peer) -> None:
        """Removes an owner."""
        self._lapse_s.pop(owner)

    def lapsed(self, now_s: float) -> Collection[Peer]:
        """Returns the owners whose claims have lapsed, and removes them.

        Args:
            now_s: The agent's clock.
        """
        if now_s < self._earliest_s:
            return ()
        lapsed = [
            owner
            for owner, lapse_s in self._lapse_s.items()
            if now_s >= lapse_s
        ]
        for owner in lapsed:
            self._lapse_s.pop(owner)
        self._earliest_s = min(self._lapse_s.values(), default=_NEVER_S)
        return lapsed
