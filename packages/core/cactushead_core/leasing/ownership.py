"""When the owners of an agent's runs lose them."""

from collections.abc import Iterator, Mapping

from ..events import Peer

# All messages that arrived during a pause of the process are read by then.
UNREAD_S = 0.1

_NEVER_S = float('inf')


class OwnershipTimes:
    """Time at which the ownership of each owner expires.

    Explanation:
        An owner gives up an agent some time after it has lost the link, and
        places the tasks elsewhere. The agent must have dropped them by then, so
        an ownership expires some time after the last message of its owner, by
        a clock that goes on while the agent is paused. A message that arrived
        during a pause counts from the beginning of the pause, since its owner
        may have given up the agent right after it was sent.
    """

    def __init__(self, silence_s: float, grace_s: float) -> None:
        """Starts without owners.

        Args:
            silence_s: Time after the last message of an owner.
            grace_s: Time after the loss of its link.
        """
        self._silence_s = silence_s
        self._grace_s = grace_s
        self._expiry_s: dict[Peer, float] = {}
        # No ownership expires earlier.
        self._earliest_s = _NEVER_S
        self._resumed_s = -_NEVER_S
        self._paused_s = -_NEVER_S
        self._read_s = _NEVER_S

    def __iter__(self) -> Iterator[Peer]:
        """Iterates over the owners that are known now."""
        return iter(tuple(self._expiry_s))

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

    def turn_ended(self, began_s: float) -> None:
        """Records that messages that had arrived before a turn are handled.

        Args:
            began_s: Time at which the turn began.
        """
        self._read_s = began_s

    def find_expiry_s(self, owner: Peer) -> float:
        """Returns when the ownership of an owner expires.

        Args:
            owner: The owner; one that is unknown owns nothing that expires.
        """
        return self._expiry_s.get(owner, _NEVER_S)

    def renew(self, owner: Peer, now_s: float) -> None:
        """Records a message of an owner.

        Explanation:
            The message may have arrived at any time since the last turn began.

        Args:
            owner: The owner.
            now_s: The agent's clock.
        """
        sent_s = min(now_s, self._read_s)
        if now_s - self._resumed_s < UNREAD_S:
            sent_s = self._paused_s
        expiry_s = max(
            sent_s + self._silence_s, self._expiry_s.get(owner, -_NEVER_S)
        )
        self._expiry_s[owner] = expiry_s
        self._earliest_s = min(self._earliest_s, expiry_s)

    def heard(self, owner: Peer, now_s: float) -> None:
        """Records a message of a process, which may be an owner.

        Args:
            owner: The process.
            now_s: The agent's clock.
        """
        if owner in self._expiry_s:
            self.renew(owner, now_s)

    def disconnected(self, owner: Peer, now_s: float) -> None:
        """Records that the link of a process, maybe an owner, was lost.

        Args:
            owner: The process.
            now_s: The agent's clock.
        """
        expiry_s = self._expiry_s.get(owner)
        if expiry_s is not None:
            self._expiry_s[owner] = min(expiry_s, now_s + self._grace_s)
            self._earliest_s = min(self._earliest_s, self._expiry_s[owner])

    def remove(self, owner: Peer) -> None:
        """Removes an owner."""
        self._expiry_s.pop(owner)

    def expire(self, now_s: float) -> Mapping[Peer, float]:
        """Removes the owners whose ownership has expired.

        Args:
            now_s: The agent's clock.

        Returns:
            The owners, with the time at which it expired.
        """
        if now_s < self._earliest_s:
            return {}
        expired = {
            owner: expiry_s
            for owner, expiry_s in self._expiry_s.items()
            if now_s >= expiry_s
        }
        for owner in expired:
            self._expiry_s.pop(owner)
        self._earliest_s = min(self._expiry_s.values(), default=_NEVER_S)
        return expired
