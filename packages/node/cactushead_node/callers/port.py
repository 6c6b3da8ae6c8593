"""The ports, under the name that the HTTP interface uses."""

from ..request_port import MakeEvent, RequestPort, StatusPort

__all__ = ['MakeEvent', 'RequestPort', 'StatusPort']
