"""What the settings of all processes have in common."""

import ipaddress

from cactushead_core.errors import SettingsError
from cactushead_core.validation import FieldReader, load_json

MAX_PORT = 65535


def make_settings_reader(body: bytes) -> FieldReader:
    """Returns a reader that collects what is wrong with the settings.

    Explanation:
        `raise_settings_findings` reports the collected findings.

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


def raise_settings_findings(reader: FieldReader) -> None:
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
    return reader.integer(name, lowest=1, highest=MAX_PORT)


def is_ip_address(host: str) -> bool:
    """Whether a text is an IP number.

    Examples:
        >>> is_ip_address('10.0.0.1'), is_ip_address('edge-1')
        (True, False)
    """
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return False
    return True
