"""Where the client finds the entries.

Explanation:
    The first of these that is given counts: the option `--entry`, the client
    settings file, the environment variable, the default of a laptop.
"""

import os
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

from cactushead_core.errors import Finding, SettingsError
from pydantic import BaseModel, ConfigDict, Field, ValidationError

from .client import UsageError

ENTRIES_VARIABLE = 'CACTUSHEAD_ENTRIES'
DEFAULT_ENTRY = 'http://127.0.0.1:8470'
DEFAULT_TIMEOUT_S = 10.0
MAX_TIMEOUT_S = 3600.0

EntryUrl = Annotated[str, Field(pattern='^https?://[^/ ]+/?$')]


@dataclass(frozen=True, slots=True)
class ClientSettings:
    """How the client reaches the entries.

    Attributes:
        entries: Addresses, in the order of the tries.
        timeout_s: Longest wait for an answer that needs no work.
    """

    entries: tuple[str, ...] = (DEFAULT_ENTRY,)
    timeout_s: float = DEFAULT_TIMEOUT_S


class _SettingsFile(BaseModel):
    model_config = ConfigDict(extra='forbid', strict=True)

    entries: list[EntryUrl] = Field(min_length=1)
    timeout_s: float = Field(
        default=DEFAULT_TIMEOUT_S,
        gt=0,
        le=MAX_TIMEOUT_S,
        allow_inf_nan=False,
    )


def parse_client_settings(body: bytes) -> ClientSettings:
    """Parses a client settings file.

    Examples:
        >>> parse_client_settings(b'{"entries": ["http://127.0.0.1:8471"]}')
        ClientSettings(entries=('http://127.0.0.1:8471',), timeout_s=10.0)

    Args:
        body: JSON text.

    Raises:
        SettingsError: With all findings.
    """
    try:
        parsed = _SettingsFile.model_validate_json(body)
    except ValidationError as error:
        raise SettingsError(
            'client settings',
            [
                Finding(
                    '.'.join(str(part) for part in found['loc']) or '$',
                    f'{found["msg"]}, got {found["input"]!r:.60}',
                )
                for found in error.errors()
            ],
        ) from error
    return ClientSettings(tuple(parsed.entries), parsed.timeout_s)


def split_entries(text: str) -> tuple[str, ...]:
    """Splits a list of addresses that are separated by commas.

    Examples:
        >>> split_entries('http://127.0.0.1:8471, http://127.0.0.1:8472')
        ('http://127.0.0.1:8471', 'http://127.0.0.1:8472')

    Args:
        text: The list.

    Raises:
        UsageError: If an address is no `http` address.
    """
    entries = tuple(part.strip() for part in text.split(',') if part.strip())
    wrong = [
        entry
        for entry in entries
        if not entry.startswith(('http://', 'https://'))
    ]
    if wrong or not entries:
        raise UsageError(
            f'expected addresses such as {DEFAULT_ENTRY}, got {text!r}',
        )
    return entries


def find_entries(
    entry_option: str,
    settings_file: str,
    environment: Mapping[str, str] | None = None,
) -> ClientSettings:
    """Returns how to reach the entries.

    Args:
        entry_option: Value of `--entry`, empty for none.
        settings_file: Value of `--settings`, empty for none.
        environment: Environment variables, None for the process's own.

    Raises:
        UsageError: If the option, variable or file can't be read.
        SettingsError: If the file breaks its schema.
    """
    settings = ClientSettings()
    if settings_file:
        settings = parse_client_settings(read_input_file(settings_file))
    if entry_option:
        return ClientSettings(split_entries(entry_option), settings.timeout_s)
    if settings_file:
        return settings
    variables = os.environ if environment is None else environment
    listed = variables.get(ENTRIES_VARIABLE, '')
    if listed:
        return ClientSettings(split_entries(listed))
    return settings


def read_input_file(name: str) -> bytes:
    """Returns the content of a file that the command line names.

    Args:
        name: Path of the file.

    Raises:
        UsageError: If the file can't be read.
    """
    try:
        return Path(name).read_bytes()
    except OSError as error:
        raise UsageError(f"can't read {name}: {error.strerror}") from error
