"""Reading of settings: parts that all processes share."""

import ipaddress

from cactushead_core.errors import SettingsError
from cactushead_core.validation import FieldReader, load_json

from .model import ConnectionLimits

MAX_PORT = 65535
# Upper bound of each limit of connections, in bytes or as a number.
MAX_CONNECTION_LIMIT = 1e9


def make_settings_reader(body: bytes) -> FieldReader:
    """Returns a reader that collects findings about the settings.

    Explanation:
        `raise_settings_findings` reports the findings after all fields were
        read.

    Args:
        body: The settings as JSON.

    Raises:
        SettingsError: The body cannot be parsed.
    """
    loaded = load_json(body)
    findings = list(loaded.findings)
    if not loaded.parsed:
        raise SettingsError('settings', findings)
    return FieldReader(loaded.content, '', findings)


def raise_settings_findings(reader: FieldReader) -> None:
    """Raises an error if there are findings, also about unknown fields.

    Args:
        reader: The reader, after all fields were read.

    Raises:
        SettingsError: The settings are invalid; contains all findings.
    """
    reader.close()
    if reader.findings:
        raise SettingsError('settings', reader.findings)


def read_port(reader: FieldReader, name: str = 'port') -> int:
    """Reads and returns a TCP port.

    Args:
        reader: The reader.
        name: Name of the field.
    """
    return reader.integer(name, lowest=1, highest=MAX_PORT)


def read_connection_limits(
    reader: FieldReader,
    defaults: type[ConnectionLimits] = ConnectionLimits,
) -> ConnectionLimits:
    """Reads and returns the optional section `connections`.

    Args:
        reader: The reader.
        defaults: Limits that hold if they are not set.
    """
    limits = reader.positive_fields(
        'connections', defaults, MAX_CONNECTION_LIMIT
    )
    for kind in ('read_ahead', 'body', 'reply'):
        highest = getattr(limits, f'total_{kind}_bytes')
        if getattr(limits, f'max_{kind}_bytes') > highest:
            rule = f'must be up to total_{kind}_bytes, which is {highest}'
            reader.add(f'connections.max_{kind}_bytes', rule)
    return limits


def is_ip_address(host: str) -> bool:
    """Whether a text is an IPv4 or IPv6 address.

    Examples:
        >>> is_ip_address('10.0.0.1'), is_ip_address('edge-1')
        (True, False)
    """
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return False
    return True
