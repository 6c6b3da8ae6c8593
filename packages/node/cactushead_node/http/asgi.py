"""Types of the ASGI interface between servers and applications."""

from collections.abc import Awaitable, Callable, MutableMapping
from typing import Any

# ASGI defines scopes and messages as mappings.
Scope = MutableMapping[str, Any]
AsgiMessage = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[AsgiMessage]]
SendMessage = Callable[[AsgiMessage], Awaitable[None]]
AsgiApp = Callable[[Scope, Receive, SendMessage], Awaitable[None]]
