"""Commands for settings files."""

from cactushead_core.errors import SettingsError
from cactushead_node.settings import Role, parse_settings

from ..addresses import parse_client_settings, read_input_file
from ..client import UsageError
from ..output import write_json, write_line
from .context import EXIT_SUCCESS, Action, Context

CLIENT_ROLE = 'client'
ROLES = (*Role, CLIENT_ROLE)


class SettingsCommands:
    """Validate settings files."""

    def __init__(self, context: Context) -> None:
        """Stores the options of all commands."""
        self._context = context

    def check(self, role: str, file: str) -> Action:
        """Validates a settings file offline and reports all findings.

        Args:
            role: Role of the process: `entry`, `agent`, `local` or `client`.
            file: File with the settings, JSON.
        """
        return Action(lambda: check_settings(self._context, role, file))


async def check_settings(context: Context, role: str, file_name: str) -> int:
    """Validates a settings file offline.

    Raises:
        UsageError: If the role is unknown or the file can't be read.
        SettingsError: With all findings.
    """
    if role not in ROLES:
        raise UsageError(f'expected a role of {", ".join(ROLES)}, got {role!r}')
    body = read_input_file(file_name)
    try:
        _parse(body, role)
    except SettingsError as error:
        raise SettingsError(file_name, error.findings) from error
    if context.as_json:
        write_json({'role': role, 'findings': []})
    else:
        write_line(f'{file_name}: settings of role {role} are correct')
    return EXIT_SUCCESS


def _parse(body: bytes, role: str) -> None:
    if role == CLIENT_ROLE:
        parse_client_settings(body)
    else:
        parse_settings(body, Role(role))
