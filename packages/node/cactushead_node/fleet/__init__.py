"""Processes of a fleet: dispatching entries and lease-holding agents."""

from .ports import LeasedUpstream

__all__ = ['LeasedUpstream']
