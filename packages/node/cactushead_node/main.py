"""The command `cactusheadd`, which runs one process of the system.

Explanation:
    `cactusheadd entry|agent --settings FILE` and `cactusheadd local`. The
    first SIGTERM or SIGINT drains the process, which then exits with 0; a
    second one ends it at once with 1. Bad use and settings that can't be
    used exit with 2.
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
EXIT_BAD_USE = 2
LOOPBACK = '127.0.0.1'

_PLAIN_OPTIONS = (['--settings'], ['--settings', '--log_file'])
_COMPOSITIONS = {
    Role.ENTRY: ('.composition.entry', 'EntryProcess'),
    Role.AGENT: ('.composition.agent', 'AgentProcess'),
    Role.LOCAL: ('.composition.local', 'LocalProcess'),
}


class Daemon:
    """Runs one process of the cactushead dispatcher."""

    def entry(self, settings: str, log_file: str = '') -> None:
        """Runs an entry, which accepts callers and operators.

        Args:
            settings: JSON file of the entry's settings.
            log_file: File that log lines are appended to; else stderr.
        """
        chosen = parse_settings(_read_file(settings), Role.ENTRY)
        _run(Role.ENTRY, chosen, log_file)

    def agent(self, settings: str, log_file: str = '') -> None:
        """Runs an agent beside its upstream.

        Args:
            settings: JSON file of the agent's settings.
            log_file: File that log lines are appended to; else stderr.
        """
        chosen = parse_settings(_read_file(settings), Role.AGENT)
        _run(Role.AGENT, chosen, log_file)

    def local(
        self,
        settings: str = '',
        data_dir: str = '',
        port: int = 0,
        log_file: str = '',
    ) -> None:
        """Runs a whole small system with a sample service.

        Args:
            settings: JSON file of settings, empty for the defaults.
            data_dir: Folder of its state, in place of that of the settings.
            port: Port for callers on loopback, in place of the settings'.
            log_file: File that log lines are appended to; else stderr.
        """
        body = _read_file(settings) if settings else b'{}'
        chosen = parse_settings(body, Role.LOCAL)
        if data_dir:
            chosen = replace(chosen, data_dir=str(data_dir))
        if port:
            chosen = replace(chosen, callers=Address(LOOPBACK, port))
        _run(Role.LOCAL, chosen, log_file)


def main() -> None:
    """Runs the command line and exits."""
    arguments = sys.argv[1:]
    try:
        _dispatch(arguments)
    except SettingsError as error:
        for finding in error.findings:
            _complain(f'{error.subject}: {finding}')
        sys.exit(EXIT_BAD_USE)
    except CactusheadError as error:
        _complain(str(error))
        sys.exit(EXIT_FAILED)


def _dispatch(arguments: list[str]) -> None:
    """Runs a command.

    Explanation:
        The plain call of an agent goes past fire, whose import alone takes
        a tenth of the agent's memory.
    """
    if _is_plain_agent(arguments):
        # httpcore loads h2 where it is installed; an agent speaks HTTP/1.1.
        sys.modules.setdefault('h2', None)  # type: ignore[arg-type]
        Daemon().agent(*arguments[2::2])
        return
    if not arguments:
        _complain('name a role: entry, agent or local; see --help')
        sys.exit(EXIT_BAD_USE)
    fire = import_module('fire')
    fire.Fire(Daemon, command=arguments, name='cactusheadd')


def _is_plain_agent(arguments: list[str]) -> bool:
    options = arguments[1::2]
    paired = len(arguments) == 1 + 2 * len(options)
    return paired and arguments[0] == Role.AGENT and options in _PLAIN_OPTIONS


def _run(
    role: Role,
    settings: EntrySettings | AgentSettings | LocalSettings,
    log_file: str,
) -> None:
    module, name = _COMPOSITIONS[role]
    make_process = getattr(import_module(module, __package__), name)
    run_process(make_process(settings), settings.log, str(log_file))


def _read_file(path: str) -> bytes:
    try:
        return Path(str(path)).read_bytes()
    except OSError as error:
        _complain(f'settings: {path}: {error.strerror}')
        sys.exit(EXIT_BAD_USE)


def _complain(text: str) -> None:
    sys.stderr.write(f'cactusheadd: {text}\n')
