"""What the processes of a fleet need from the platform that they run on."""

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

import trio

from ..ports import Deliver

if TYPE_CHECKING:
    # Entries start faster without the agents' part.
    from cactushead_core.leasing import RenewLeases, StartLeased, StopLeased


class LeasedUpstream(ABC):
    """Calls to an upstream that runs tasks under leases.

    Explanation:
        No method waits; each call ends with exactly one event.
    """

    @abstractmethod
    def start(self, effect: 'StartLeased') -> None:
        """Starts a run; gives `StartAnswered`."""

    @abstractmethod
    def stop(self, effect: 'StopLeased') -> None:
        """Stops a run; gives `StopAnswered`."""

    @abstractmethod
    def renew(self, effect: 'RenewLeases') -> None:
        """Renews all leases; gives `LeasesRenewed` or `RenewalFailed`."""

    @abstractmethod
    async def run(
        self,
        deliver: Deliver,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Makes the calls until it is cancelled.

        Args:
            deliver: Takes the events.
            task_status: Is told when calls can be made.
        """
