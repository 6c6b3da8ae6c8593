"""Re-exports the ports between the HTTP interface and the reducer."""

from ..request_port import MakeEvent, RequestPort, StatusPort

__all__ = ['MakeEvent', 'RequestPort', 'StatusPort']
