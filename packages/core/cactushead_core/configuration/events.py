"""Requests of operators about the whole configuration."""

from dataclasses import dataclass

from ..events import CallerEvent
from .model import Configuration


@dataclass(frozen=True, slots=True)
class ConfigurationSubmitted(CallerEvent):
    """An operator submits a configuration that has been checked."""

    configuration: Configuration


@dataclass(frozen=True, slots=True)
class NewestRequested(CallerEvent):
    """An operator asks for the newest configuration."""
