"""Settings of the processes: JSON files, validated at process start."""

from .model import (
    Address,
    AgentConnectionLimits,
    AgentSettings,
    ConnectionLimits,
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
    'AgentConnectionLimits',
    'AgentSettings',
    'ConnectionLimits',
    'EntrySettings',
    'LocalSettings',
    'LogForm',
    'LogSettings',
    'Role',
    'UpstreamSettings',
    'VoterAddress',
    'parse_settings',
]
