"""Parsing and validation of the settings of a fleet's processes."""

from cactushead_core.discovery import Endpoint, MemberAddress
from cactushead_core.dispatch.settings import DispatchSettings
from cactushead_core.events import PeerRole
from cactushead_core.validation import FieldReader

from ..settings import Address, AgentConnectionLimits
from ..settings.reading import (
    MAX_PORT,
    is_ip_address,
    make_settings_reader,
    raise_settings_findings,
    read_connection_limits,
    read_port,
)
from .settings import FleetAgentSettings, FleetEntrySettings

MAX_LOSSES = 3
MAX_DURATION_S = 3600.0
MAX_FAR_FACTOR = 100.0
DEFAULT_GRACE_S = 6.0
DEFAULT_RESEND_S = 1.3
DEFAULT_STOP_S = 0.05


def parse_entry_settings(body: bytes) -> FleetEntrySettings:
    """Parses and validates the settings of a fleet's entry.

    Args:
        body: JSON text of the settings.

    Raises:
        SettingsError: The settings are invalid; lists all findings.
    """
    reader = make_settings_reader(body)
    links_port = read_port(reader, 'links_port')
    settings = FleetEntrySettings(
        own=_read_own_address(reader, PeerRole.ENTRY, links_port),
        seeds=_read_seeds(reader, links_port),
        callers=_read_address(reader, 'callers'),
        operators=_read_address(reader, 'operators'),
        readiness=_read_address(reader, 'readiness'),
        data_dir=reader.text('data_dir', ''),
        losses=reader.integer('losses', lowest=0, highest=MAX_LOSSES),
        first_start=reader.flag('first_start', default=False),
        grace_s=_read_grace_s(reader),
        data_centres=_read_data_centres(reader),
        dispatch=_read_dispatch(reader),
        connections=read_connection_limits(reader),
    )
    raise_settings_findings(reader)
    return settings


def parse_agent_settings(body: bytes) -> FleetAgentSettings:
    """Parses and validates the settings of a fleet's agent.

    Args:
        body: JSON text of the settings.

    Raises:
        SettingsError: The settings are invalid; lists all findings.
    """
    reader = make_settings_reader(body)
    links_port = read_port(reader, 'links_port')
    settings = FleetAgentSettings(
        own=_read_own_address(reader, PeerRole.AGENT, links_port),
        seeds=_read_seeds(reader, links_port),
        heartbeats=_read_address(reader, 'heartbeats'),
        lease_s=reader.number('lease_s', highest=MAX_DURATION_S, default=1.0),
        grace_s=_read_grace_s(reader),
        claims=reader.flag('claims', default=False),
        resend_s=_read_duration_s(reader, 'resend_s', DEFAULT_RESEND_S),
        stop_s=_read_duration_s(reader, 'stop_s', DEFAULT_STOP_S),
        connections=read_connection_limits(reader, AgentConnectionLimits),
    )
    raise_settings_findings(reader)
    return settings


def _read_own_address(
    reader: FieldReader,
    role: PeerRole,
    links_port: int,
) -> MemberAddress:
    host = reader.text('host')
    _check_host(reader, 'host', host)
    return MemberAddress(
        reader.text('name'),
        role,
        host,
        links_port,
        reader.text('data_centre'),
    )


def _read_seeds(
    reader: FieldReader,
    links_port: int,
) -> tuple[Endpoint, ...]:
    """Returns the endpoints at which the seeds accept links.

    Explanation:
        A seed may be configured with the port of another interface. All
        processes accept links on the same port, so the given one is
        replaced by it.
    """
    seeds = []
    for text in reader.texts('seeds'):
        host = text.rpartition(':')[0] or text
        _check_host(reader, 'seeds', host)
        seeds.append(Endpoint(host, links_port))
    return tuple(seeds)


def _read_address(reader: FieldReader, name: str) -> Address:
    """Reads an address of the form `host:port`."""
    text = reader.text(name)
    host, _, port = text.rpartition(':')
    _check_host(reader, name, host)
    if not port.isdecimal() or not 1 <= int(port) <= MAX_PORT:
        reader.add(name, f'must end with a port, got {text!r:.60}')
        return Address(host, 1)
    return Address(host, int(port))


def _read_grace_s(reader: FieldReader) -> float:
    return _read_duration_s(reader, 'grace_s', DEFAULT_GRACE_S)


def _read_duration_s(reader: FieldReader, name: str, default_s: float) -> float:
    return reader.number(name, highest=MAX_DURATION_S, default=default_s)


def _read_data_centres(reader: FieldReader) -> tuple[str, ...]:
    if reader.has('data_centres'):
        return tuple(reader.texts('data_centres'))
    return ()


def _read_dispatch(reader: FieldReader) -> DispatchSettings:
    default = DispatchSettings()
    return DispatchSettings(
        lease_s=reader.number(
            'lease_s',
            highest=MAX_DURATION_S,
            default=default.lease_s,
        ),
        far_factor=reader.number(
            'far_factor',
            highest=MAX_FAR_FACTOR,
            default=default.far_factor,
        ),
    )


def _check_host(reader: FieldReader, name: str, host: str) -> None:
    """Adds a finding if a host is not an IP address."""
    if not is_ip_address(host):
        reader.add(name, f'must name an IP number, got {host!r:.60}')
