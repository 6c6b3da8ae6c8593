"""Parsing and validation of settings.

Explanation:
    Settings are validated by `FieldReader` and not by pydantic, which
    validates documents and requests. Importing pydantic takes several
    megabytes of memory, and an agent is limited to 32 MB. All roles use the
    same reader, so that the parts that they share (voters, timing, log) are
    validated in one place.
"""

from cactushead_core.config import (
    Bounds,
    PlacementPolicyName,
    Policy,
    TaskOrderName,
    Timing,
)
from cactushead_core.documents.model import Label
from cactushead_core.documents.names import NAME_RULE, is_valid_name
from cactushead_core.validation import FieldReader

from .model import (
    Address,
    AgentSettings,
    EntrySettings,
    LocalSettings,
    LogForm,
    LogSettings,
    Role,
    UpstreamSettings,
    VoterAddress,
)
from .reading import (
    is_ip_address,
    make_settings_reader,
    raise_settings_findings,
    read_connection_limits,
    read_port,
)

MAX_SLOTS = 10_000
MAX_CONNECTIONS = 100_000
MAX_CORES = 100_000.0
MAX_MEMORY_MB = 1e9
MAX_DURATION_S = 86_400.0
MAX_BOUND = 1e9
MAX_VOTERS = 7
MAX_QUEUE_DEPTH = 8
LOG_LEVELS = ('debug', 'info', 'warning', 'error')

_DEFAULT_UPSTREAM = UpstreamSettings('', 0)
_DEFAULT_LOCAL = LocalSettings()

Settings = EntrySettings | AgentSettings | LocalSettings


def parse_settings(body: bytes, role: Role) -> Settings:
    """Returns the validated settings of a process.

    Examples:
        >>> parse_settings(b'{"slots": 2}', Role.LOCAL).slots
        2
        >>> parse_settings(b'{"slots": 0, "port": 1}', Role.LOCAL)
        Traceback (most recent call last):
          ...
        cactushead_core.errors.SettingsError: settings: slots: must be from 1 \
to 10000, got 0; port: unknown field

    Args:
        body: The settings as JSON.
        role: Role of the process.

    Returns:
        `EntrySettings`, `AgentSettings` or `LocalSettings`, depending on the
        role.

    Raises:
        SettingsError: The settings are invalid; contains all findings.
    """
    reader = make_settings_reader(body)
    settings = _READERS[Role(role)](reader)
    raise_settings_findings(reader)
    return settings


def _read_entry(reader: FieldReader) -> EntrySettings:
    settings = EntrySettings(
        name=_read_name(reader),
        cell=reader.text('cell'),
        data_centre=reader.text('data_centre'),
        callers=_read_address(reader, 'callers'),
        peers=_read_address(reader, 'peers'),
        voters=_read_voters(reader),
        data_dir=reader.text('data_dir', ''),
        synced_admission=reader.flag('synced_admission', default=False),
        timing=_read_timing(reader),
        bounds=reader.positive_fields('bounds', Bounds, MAX_BOUND),
        policy=_read_policy(reader),
        connections=read_connection_limits(reader),
        log=_read_log(reader),
    )
    _check_voter_role(reader, settings)
    if settings.callers == settings.peers and settings.callers.host:
        reader.add('peers.port', 'is the same address as callers')
    return settings


def _read_agent(reader: FieldReader) -> AgentSettings:
    return AgentSettings(
        name=_read_name(reader),
        cell=reader.text('cell'),
        data_centre=reader.text('data_centre'),
        rack=reader.text('rack', ''),
        upstream=_read_upstream(reader.section('upstream')),
        voters=_read_voters(reader),
        timing=_read_timing(reader),
        bounds=reader.positive_fields('bounds', Bounds, MAX_BOUND),
        log=_read_log(reader),
    )


def _read_local(reader: FieldReader) -> LocalSettings:
    callers = _DEFAULT_LOCAL.callers
    if reader.has('callers'):
        callers = _read_address(reader, 'callers')
    return LocalSettings(
        callers=callers,
        data_dir=reader.text('data_dir', _DEFAULT_LOCAL.data_dir),
        slots=_read_slots(reader),
        timing=_read_timing(reader),
        bounds=reader.positive_fields('bounds', Bounds, MAX_BOUND),
        connections=read_connection_limits(reader),
        log=_read_log(reader),
    )


def _read_upstream(reader: FieldReader) -> UpstreamSettings:
    default = _DEFAULT_UPSTREAM
    labels = _read_labels(reader)
    settings = UpstreamSettings(
        host=_read_host(reader),
        port=read_port(reader),
        run_path=_read_path(reader, 'run_path', default.run_path),
        health_path=_read_path(reader, 'health_path', default.health_path),
        labels=labels,
        slots=_read_slots(reader),
        connections=reader.integer(
            'connections',
            lowest=1,
            highest=MAX_CONNECTIONS,
            default=default.connections,
        ),
        cores=reader.number(
            'cores',
            highest=MAX_CORES,
            default=default.cores,
        ),
        memory_mb=reader.number(
            'memory_mb',
            highest=MAX_MEMORY_MB,
            default=default.memory_mb,
        ),
    )
    reader.close()
    return settings


def _read_voters(reader: FieldReader) -> tuple[VoterAddress, ...]:
    """Reads the voters; their names and addresses must be unique."""
    sections = reader.sections('voters', highest=MAX_VOTERS)
    voters = tuple(_read_voter(section) for section in sections)
    for name in _duplicates([voter.name for voter in voters]):
        reader.add('voters', f'lists {name!r:.80} twice')
    addresses = [f'{voter.host} port {voter.port}' for voter in voters]
    for address in _duplicates(addresses):
        reader.add('voters', f'lists the address {address} twice')
    return voters


def _read_voter(reader: FieldReader) -> VoterAddress:
    voter = VoterAddress(
        name=_read_name(reader),
        host=_read_host(reader),
        port=read_port(reader),
    )
    reader.close()
    return voter


def _read_name(reader: FieldReader) -> str:
    name = reader.text('name')
    if name and not is_valid_name(name):
        reader.add('name', f'{NAME_RULE}, got {name!r:.80}')
    return name


def _read_labels(reader: FieldReader) -> tuple[Label, ...]:
    """Reads labels; a selector can only refer to valid names."""
    texts = reader.texts_by_name('labels')
    for name in texts:
        if not is_valid_name(name):
            reader.add('labels', f'a name {NAME_RULE}, got {name!r:.80}')
    return tuple(Label(label, text) for label, text in sorted(texts.items()))


def _read_address(reader: FieldReader, name: str) -> Address:
    section = reader.section(name)
    address = Address(host=_read_host(section), port=read_port(section))
    section.close()
    return address


def _read_host(reader: FieldReader) -> str:
    host = reader.text('host')
    if host and not is_ip_address(host):
        reader.add('host', f'must be an IP number, got {host!r:.80}')
    return host


def _read_path(reader: FieldReader, name: str, default: str) -> str:
    path = reader.text(name, default)
    if path and not _is_url_path(path):
        rule = 'must be an ASCII path that begins with /'
        reader.add(name, f'{rule}, got {path!r:.80}')
    return path


def _read_slots(reader: FieldReader) -> int:
    return reader.integer(
        'slots',
        lowest=1,
        highest=MAX_SLOTS,
        default=_DEFAULT_UPSTREAM.slots,
    )


def _read_timing(reader: FieldReader) -> Timing:
    """Reads durations and checks how they relate to each other."""
    timing = reader.positive_fields('timing', Timing, MAX_DURATION_S)
    if timing.drift >= 1:
        reader.add('timing.drift', f'must be below 1, got {timing.drift}')
    if timing.heartbeat_s >= timing.lease_s:
        rule = f'must be below lease_s, which is {timing.lease_s}'
        reader.add('timing.heartbeat_s', f'{rule}, got {timing.heartbeat_s}')
    if timing.append_s >= timing.election_s / 2:
        rule = f'must be below half of election_s, {timing.election_s}'
        reader.add('timing.append_s', f'{rule}, got {timing.append_s}')
    return timing


def _read_policy(reader: FieldReader) -> Policy:
    section = reader.section('policy', required=False)
    orders = tuple(order.value for order in TaskOrderName)
    placements = tuple(placement.value for placement in PlacementPolicyName)
    policy = Policy(
        TaskOrderName(
            section.choice('order', orders, TaskOrderName.FAIR.value)
        ),
        PlacementPolicyName(
            section.choice(
                'placement',
                placements,
                PlacementPolicyName.SPREAD.value,
            ),
        ),
        section.integer(
            'queue_depth',
            lowest=0,
            highest=MAX_QUEUE_DEPTH,
            default=0,
        ),
    )
    section.close()
    return policy


def _read_log(reader: FieldReader) -> LogSettings:
    section = reader.section('log', required=False)
    forms = tuple(form.value for form in LogForm)
    log = LogSettings(
        level=section.choice('level', LOG_LEVELS, 'info'),
        form=LogForm(section.choice('format', forms, LogForm.TEXT.value)),
    )
    section.close()
    return log


def _check_voter_role(reader: FieldReader, settings: EntrySettings) -> None:
    """Checks that the entry has a data folder if and only if it is a voter."""
    listed = settings.name in {voter.name for voter in settings.voters}
    known = bool(settings.name and settings.voters)
    if settings.is_voter and known and not listed:
        finding = f'the entry has a data_dir, but {settings.name!r:.80}'
        reader.add('voters', f'{finding} is not among the voters')
    if listed and not settings.is_voter:
        reader.add('data_dir', 'missing, but the entry is among the voters')


def _duplicates(texts: list[str]) -> list[str]:
    return sorted({text for text in texts if text and texts.count(text) > 1})


def _is_url_path(path: str) -> bool:
    printable = path.isascii() and path.isprintable()
    return printable and path.startswith('/') and ' ' not in path


_READERS = {
    Role.ENTRY: _read_entry,
    Role.AGENT: _read_agent,
    Role.LOCAL: _read_local,
}
