"""Actions, exit codes and options that all commands share."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from ..addresses import resolve_client_settings
from ..client import Client, HttpcoreTransport, Transport

EXIT_SUCCESS = 0
EXIT_FAILED = 1
EXIT_USAGE_ERROR = 2


@dataclass(frozen=True, slots=True)
class Action:
    """A parsed command line that has not been executed yet.

    Explanation:
        Commands return an action instead of executing it, because fire
        reports an unknown option only after it has called the command. The
        command line is thus rejected before it has any effect.

    Attributes:
        perform: Executes the command and returns the exit code.
    """

    perform: Callable[[], Awaitable[int]]


@dataclass(frozen=True, slots=True)
class Context:
    """Options of all commands.

    Attributes:
        entry: Value of `--entry`, empty if not given.
        settings: Value of `--settings`, empty if not given.
        as_json: Whether the output is JSON.
        transport: Sends the requests, None for TCP connections.
    """

    entry: str = ''
    settings: str = ''
    as_json: bool = False
    transport: Transport | None = None

    def make_client(self) -> Client:
        """Returns a client of the entries that the options select."""
        settings = resolve_client_settings(self.entry, self.settings)
        return Client(
            self.transport or HttpcoreTransport(),
            settings.entries,
            settings.timeout_s,
        )
