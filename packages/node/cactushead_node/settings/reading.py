"""What the settings of all processes have in common."""

import ipaddress

from cactushead_core.errors import SettingsError
from cactushead_core.validation import FieldReader, load_json

HIGHEST_PORT = 65535


def open_settings(body: bytes) -> FieldReader:
    """Returns a reader of settings; `close_settings` reports what is wrong.

    Args:
        body: The settings' JSON text.

    Raises:
        SettingsError: The text can't be read at all.
    """
    loaded = load_json(body)
    findings = list(loaded.findings)
    if not loaded.parsed:
        raise SettingsError('settings', findings)
    return FieldReader(loaded.content, '', findings)


def close_settings(reader: FieldReader) -> None:
    """Reports unknown fields and all other findings.

    Args:
        reader: The reader, after all fields were read.

    Raises:
        SettingsError: The settings are not valid; holds all findings.
    """
    reader.close()
    if reader.findings:
        raise SettingsError('settings', reader.findings)


def read_port(reader: FieldReader, name: str = 'port') -> int:
    """Returns a TCP port.

    Args:
        reader: The reader.
        name: The field.
    """
    return reader.integer(name, lowest=1, highest=HIGHEST_PORT)


def is_ip_number(host: str) -> bool:
    """Whether a text is an IP number.

    Examples:
        >>> is_ip_number('10.0.0.1'), is_ip_number('edge-1')
        (True, False)
    """
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return False
    return True
