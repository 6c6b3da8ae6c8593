"""Fair shares of teams and callers, measured in estimated run time.

Explanation:
    Each share has a virtual time, which advances by the estimated run time of
    each started task. As in start-time fair queueing (Goyal, Vin, Cheng 1996),
    a share that becomes backlogged starts at the system virtual time, which
    is the virtual time of the share served last. So idle time earns no credit.

    Shares are compared by rounds of one quantum, as in deficit round robin
    (Shreedhar, Varghese 1995). Among callers in the same round, the job with
    the least work is next.
"""

from dataclasses import dataclass

# Run time by which the virtual times of backlogged callers may differ.
QUANTUM_S = 1.0

Rank = tuple[int, float]


@dataclass(slots=True)
class Share:
    """Service received by a team, or by a caller within its team.

    Attributes:
        running: Number of slots that its tasks occupy.
        waiting: Number of its waiting tasks.
        virtual_time_s: Virtual time.
        round: Round in which its next task starts; the lowest is next.
    """

    running: int = 0
    waiting: int = 0
    virtual_time_s: float = 0.0
    round: int = 0

    @property
    def is_idle(self) -> bool:
        """Whether it has no running and no waiting tasks."""
        return self.running == 0 and self.waiting == 0

    def add_waiting(self, system_virtual_time_s: float) -> None:
        """Counts a task that was queued.

        Args:
            system_virtual_time_s: Virtual time of the share served last.
        """
        if self.waiting == 0:
            self.virtual_time_s = max(
                self.virtual_time_s, system_virtual_time_s
            )
            self.round = int(self.virtual_time_s // QUANTUM_S)
        self.waiting += 1

    def start_task(self, estimate_s: float) -> None:
        """Counts a waiting task as running and advances the virtual time.

        Args:
            estimate_s: Its expected run time.
        """
        self.waiting -= 1
        self.running += 1
        self.virtual_time_s += estimate_s
        self.round = int(self.virtual_time_s // QUANTUM_S)
