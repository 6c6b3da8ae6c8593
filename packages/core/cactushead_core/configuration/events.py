"""Operator requests that submit or read the configuration."""

from dataclasses import dataclass

from ..events import CallerEvent
from .model import Configuration


@dataclass(frozen=True, slots=True)
class ConfigurationSubmitted(CallerEvent):
    """An operator submits a validated configuration."""

    configuration: Configuration


@dataclass(frozen=True, slots=True)
class NewestRequested(CallerEvent):
    """An operator requests the newest configuration."""
