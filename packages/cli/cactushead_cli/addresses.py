"""Addresses of the entries, from options, settings and environment.

Explanation:
    The order of precedence is: the option `--entry`, the client settings
    file, the environment variable, the default of a local installation.
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
DEFAULT_ENTRY_URL = 'http://127.0.0.1:8470'
DEFAULT_TIMEOUT_S = 10.0
MAX_TIMEOUT_S = 3600.0

EntryUrl = Annotated[str, Field(pattern='^https?://[^/ ]+/?$')]


@dataclass(frozen=True, slots=True)
class ClientSettings:
    """Settings of the client.

    Attributes:
        entries: Addresses of the entries, in the order of the attempts.
        timeout_s: Time-out of all requests that don't wait for a job.
    """

    entries: tuple[str, ...] = (DEFAULT_ENTRY_URL,)
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
                    '.'.join(str(part) for part in problem['loc']) or '$',
                    f'{problem["msg"]}, got {problem["input"]!r:.60}',
                )
                for problem in error.errors()
            ],
        ) from error
    return ClientSettings(tuple(parsed.entries), parsed.timeout_s)


def parse_entry_urls(text: str) -> tuple[str, ...]:
    """Parses a list of addresses that are separated by commas.

    Examples:
        >>> parse_entry_urls('http://127.0.0.1:8471, http://127.0.0.1:8472')
        ('http://127.0.0.1:8471', 'http://127.0.0.1:8472')

    Args:
        text: The list.

    Raises:
        UsageError: If an address has no `http` or `https` scheme, or the list
            is empty.
    """
    entries = tuple(part.strip() for part in text.split(',') if part.strip())
    invalid = [
        entry
        for entry in entries
        if not entry.startswith(('http://', 'https://'))
    ]
    if invalid or not entries:
        raise UsageError(
            f'expected addresses such as {DEFAULT_ENTRY_URL}, got {text!r}',
        )
    return entries


def resolve_client_settings(
    entry_option: str,
    settings_file: str,
    environment: Mapping[str, str] | None = None,
) -> ClientSettings:
    """Returns the client settings by the order of precedence.

    Args:
        entry_option: Value of `--entry`, empty if not given.
        settings_file: Value of `--settings`, empty if not given.
        environment: Environment variables, None for those of the process.

    Raises:
        UsageError: If the option or variable is invalid, or the file can't be
            read.
        SettingsError: If the file does not match its schema.
    """
    settings = ClientSettings()
    if settings_file:
        settings = parse_client_settings(read_input_file(settings_file))
    if entry_option:
        return ClientSettings(
            parse_entry_urls(entry_option), settings.timeout_s
        )
    if settings_file:
        return settings
    variables = os.environ if environment is None else environment
    entry_list = variables.get(ENTRIES_VARIABLE, '')
    if entry_list:
        return ClientSettings(parse_entry_urls(entry_list))
    return settings


def read_input_file(name: str) -> bytes:
    """Returns the content of a file named on the command line.

    Args:
        name: Path of the file.

    Raises:
        UsageError: If the file can't be read.
    """
    try:
        return Path(name).read_bytes()
    except OSError as error:
        raise UsageError(f"can't read {name}: {error.strerror}") from error
