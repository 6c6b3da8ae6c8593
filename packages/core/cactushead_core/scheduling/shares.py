"""Shares of teams and callers: the run time that each was given.

Explanation:
    A share has a virtual time: the estimated run time of what was started.
    This is start-time fair queueing (Goyal, Vin, Cheng 1996): whoever begins
    to wait anew starts at the virtual time of the last one served, so idle
    time earns no credit.

    Shares are compared by rounds of a quantum, as in deficit round robin
    (Shreedhar, Varghese 1995). Within a round the job with the least work is
    next, whosever it is.
"""

from dataclasses import dataclass

# Slot time by which backlogged callers may get ahead of each other.
QUANTUM_S = 1.0

Rank = tuple[int, float]


@dataclass(slots=True)
class Share:
    """What a team or caller has been given, compared among its kind.

    Attributes:
        held: Slots that its tasks occupy.
        waiting: Its tasks that wait.
        served_s: Virtual time.
        round: Round in which its next task starts; the lowest is next.
    """

    running: int = 0
    waiting: int = 0
    virtual_time_s: float = 0.0
    round: int = 0

    @property
    def is_idle(self) -> bool:
        """Whether nothing runs or waits."""
        return self.running == 0 and self.waiting == 0

    def add_waiting(self, system_virtual_time_s: float) -> None:
        """Counts a task that begins to wait.

        Args:
            system_virtual_time_s: Virtual time of the last one served.
        """
        if self.waiting == 0:
            self.virtual_time_s = max(
                self.virtual_time_s, system_virtual_time_s
            )
            self.round = int(self.virtual_time_s // QUANTUM_S)
        self.waiting += 1

    def start_waiting(self, estimate_s: float) -> None:
        """Counts a waiting task that starts.

        Args:
            estimate_s: How long it will probably run.
        """
        self.waiting -= 1
        self.running += 1
        self.virtual_time_s += estimate_s
        self.round = int(self.virtual_time_s // QUANTUM_S)
