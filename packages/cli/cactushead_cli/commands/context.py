"""What all commands share."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from ..addresses import find_entries
from ..client import Client, HttpcoreTransport, Transport

EXIT_DONE = 0
EXIT_FAILED = 1
EXIT_BAD_USE = 2


@dataclass(frozen=True, slots=True)
class Action:
    """A command line that was understood and is still to be carried out.

    Explanation:
        Commands return actions in place of acting at once, so that a command
        line with an unknown option is refused before anything is done.

    Attributes:
        perform: Carries it out and returns the exit code.
    """

    perform: Callable[[], Awaitable[int]]


@dataclass(frozen=True, slots=True)
class Context:
    """Options that hold for all commands.

    Attributes:
        entry: Value of `--entry`.
        settings: Value of `--settings`.
        as_json: Whether output is JSON.
        transport: Carries requests; None for real connections.
    """

    entry: str = ''
    settings: str = ''
    as_json: bool = False
    transport: Transport | None = None

    def client(self) -> Client:
        """Returns a client of the entries that the options name."""
        settings = find_entries(self.entry, self.settings)
        return Client(
            self.transport or HttpcoreTransport(),
            settings.entries,
            settings.timeout_s,
        )
