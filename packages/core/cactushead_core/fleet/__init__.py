"""The entry of a fleet: discovery, configuration and dispatch."""

from .entry import FleetEntry
from .membership_report import MembershipStatus
from .settings import FleetSettings

__all__ = ['FleetEntry', 'FleetSettings', 'MembershipStatus']
