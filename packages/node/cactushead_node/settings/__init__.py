"""Settings of the processes: JSON files, checked at the start."""

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
from .parse import parse_settings

__all__ = [
    'Address',
    'AgentSettings',
    'EntrySettings',
    'LocalSettings',
    'LogForm',
    'LogSettings',
    'Role',
    'UpstreamSettings',
    'VoterAddress',
    'parse_settings',
]
