"""Messages between entries about the replicated state."""

from ..configuration import (
    ConfigurationUpdate,
    NewestReply,
    NewestRequest,
    SubmissionReply,
    SubmitConfiguration,
)
from ..configuration.manager import ConfigurationManager
from ..effects import Effect
from ..evacuation import EvacuationReply, EvacuationState, SubmitEvacuation
from ..evacuation.manager import EvacuationManager
from ..messages.base import Message
from .voter import Voter


class StateMessages:
    """Passes messages to the managers of the state."""

    def __init__(
        self,
        configuration: ConfigurationManager,
        evacuations: EvacuationManager,
        voter: Voter,
    ) -> None:
        """Shares the state of the entry.

        Args:
            configuration: Its configuration.
            evacuations: Its evacuations.
            voter: Its replica of the log.
        """
        self._configuration = configuration
        self._evacuations = evacuations
        self._voter = voter

    def received(
        self,
        sender: str,
        message: Message,
        now_s: float,
        effects: list[Effect],
    ) -> None:
        """Processes a message; one of another kind is ignored.

        Args:
            sender: The entry that sent it.
            message: The message.
            now_s: The process's clock.
            effects: List to which effects are appended.
        """
        manager = self._configuration
        evacuations = self._evacuations
        replica = self._voter.replica_if_leader()
        match message:
            case SubmitConfiguration():
                manager.store(sender, message, replica, now_s, effects)
            case NewestRequest():
                manager.send_newest(sender, message, replica, now_s, effects)
            case SubmissionReply():
                manager.submission_replied(message, effects)
            case NewestReply():
                manager.newest_replied(message, effects)
            case ConfigurationUpdate():
                manager.update_received(sender, message, effects)
            case SubmitEvacuation():
                evacuations.store(sender, message, replica, now_s, effects)
            case EvacuationReply():
                evacuations.replied(message, effects)
            case EvacuationState():
                evacuations.state_received(message, effects)
