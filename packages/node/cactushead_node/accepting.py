"""Accepting connections while file descriptors may be used up."""

import errno
import logging
from collections.abc import Callable

import trio

# Pause of accepting connections while there is no descriptor for one.
ACCEPT_PAUSE_S = 0.1
# Shortest time between two log lines on a limit, which is met often if at all.
LOG_INTERVAL_S = 10.0

_NO_DESCRIPTOR = frozenset(
    (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
)

_log = logging.getLogger('cactushead.connections')


class PatientListener(trio.abc.Listener[trio.SocketStream]):
    """Listener that makes room and tries again when it can't accept.

    Attributes:
        socket: The listening socket.
    """

    def __init__(
        self,
        listener: trio.SocketListener,
        make_room: Callable[[], None],
    ) -> None:
        """Wraps a listener.

        Args:
            listener: The listener.
            make_room: Closes a connection, if one may be closed.
        """
        self.socket = listener.socket
        self._listener = listener
        self._make_room = make_room
        self._logged_s = -LOG_INTERVAL_S

    async def accept(self) -> trio.SocketStream:
        """Waits for a connection and returns it.

        Raises:
            OSError: The listener is broken.
        """
        while True:
            try:
                return await self._listener.accept()
            except OSError as error:
                if error.errno not in _NO_DESCRIPTOR:
                    raise
                self._log_error(error)
            self._make_room()
            await trio.sleep(ACCEPT_PAUSE_S)

    async def aclose(self) -> None:
        """Closes the listener."""
        await self._listener.aclose()

    def _log_error(self, error: OSError) -> None:
        now_s = trio.current_time()
        if now_s >= self._logged_s + LOG_INTERVAL_S:
            self._logged_s = now_s
            _log.warning('connections: none can be accepted: %s', error)
