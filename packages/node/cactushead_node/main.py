"""The command `cactusheadd`, which runs one process of the dispatcher.

Explanation:
    `cactusheadd entry|agent --settings FILE` and `cactusheadd local`. The
    first SIGTERM or SIGINT drains the process, which then exits with status
    0; a second one ends it at once with status 1. Usage errors and invalid
    settings end it with status 2.
"""

import sys
from dataclasses import replace
from importlib import import_module
from pathlib import Path

from cactushead_core.errors import CactusheadError, SettingsError

from .runner import run_process
from .settings import (
    Address,
    AgentSettings,
    EntrySettings,
    LocalSettings,
    Role,
    parse_settings,
)

EXIT_FAILED = 1
EXIT_USAGE_ERROR = 2
LOOPBACK = '127.0.0.1'

_DIRECT_AGENT_OPTIONS = (['--settings'], ['--settings', '--log_file'])
_PROCESS_CLASSES = {
    Role.ENTRY: ('.composition.entry', 'EntryProcess'),
    Role.AGENT: ('.composition.agent', 'AgentProcess'),
    Role.LOCAL: ('.composition.local', 'LocalProcess'),
}


class Daemon:
    """Runs one process of the cactushead dispatcher."""

    def entry(self, settings: str, log_file: str = '') -> None:
        """Runs an entry, which serves requests of callers and operators.

        Args:
            settings: JSON file with the entry's settings.
            log_file: File to append the log to; empty for stderr.
        """
        parsed = parse_settings(_read_file(settings), Role.ENTRY)
        _run(Role.ENTRY, parsed, log_file)

    def agent(self, settings: str, log_file: str = '') -> None:
        """Runs an agent, which starts tasks at its upstream.

        Args:
            settings: JSON file with the agent's settings.
            log_file: File to append the log to; empty for stderr.
        """
        parsed = parse_settings(_read_file(settings), Role.AGENT)
        _run(Role.AGENT, parsed, log_file)

    def local(
        self,
        settings: str = '',
        data_dir: str = '',
        port: int = 0,
        log_file: str = '',
    ) -> None:
        """Runs an entry, an agent and a sample upstream in one process.

        Args:
            settings: JSON file with settings; empty for the defaults.
            data_dir: Data folder; overrides the one in the settings.
            port: Loopback port for callers; overrides the settings.
            log_file: File to append the log to; empty for stderr.
        """
        body = _read_file(settings) if settings else b'{}'
        parsed = parse_settings(body, Role.LOCAL)
        if data_dir:
            parsed = replace(parsed, data_dir=str(data_dir))
        if port:
            parsed = replace(parsed, callers=Address(LOOPBACK, port))
        _run(Role.LOCAL, parsed, log_file)


def main() -> None:
    """Runs the command line and exits with its status."""
    arguments = sys.argv[1:]
    try:
        _dispatch(arguments)
    except SettingsError as error:
        for finding in error.findings:
            _print_error(f'{error.subject}: {finding}')
        sys.exit(EXIT_USAGE_ERROR)
    except CactusheadError as error:
        _print_error(str(error))
        sys.exit(EXIT_FAILED)


def _dispatch(arguments: list[str]) -> None:
    """Runs the command that the arguments name.

    Explanation:
        A plain agent command is run without fire, because importing fire
        alone takes a tenth of the agent's memory.
    """
    if _is_direct_agent_command(arguments):
        # httpcore imports h2 if it is installed; an agent uses HTTP/1.1 only,
        # so that the import would waste memory.
        sys.modules.setdefault('h2', None)  # type: ignore[arg-type]
        Daemon().agent(*arguments[2::2])
        return
    if not arguments:
        _print_error('name a role: entry, agent or local; see --help')
        sys.exit(EXIT_USAGE_ERROR)
    fire = import_module('fire')
    fire.Fire(Daemon, command=arguments, name='cactusheadd')


def _is_direct_agent_command(arguments: list[str]) -> bool:
    options = arguments[1::2]
    options_are_paired = len(arguments) == 1 + 2 * len(options)
    return (
        options_are_paired
        and arguments[0] == Role.AGENT
        and options in _DIRECT_AGENT_OPTIONS
    )


def _run(
    role: Role,
    settings: EntrySettings | AgentSettings | LocalSettings,
    log_file: str,
) -> None:
    module, name = _PROCESS_CLASSES[role]
    make_process = getattr(import_module(module, __package__), name)
    run_process(make_process(settings), settings.log, str(log_file))


def _read_file(path: str) -> bytes:
    try:
        return Path(str(path)).read_bytes()
    except OSError as error:
        _print_error(f'settings: {path}: {error.strerror}')
        sys.exit(EXIT_USAGE_ERROR)


def _print_error(text: str) -> None:
    sys.stderr.write(f'cactusheadd: {text}\n')
