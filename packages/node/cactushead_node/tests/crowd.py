"""Clients that send without reading, and what a process holds meanwhile."""

import contextlib
import itertools
import selectors
import socket
import threading
import time
from pathlib import Path

import h2.config
import h2.connection
import h2.settings

BLOCK_BYTES = 65_536
KB = 1024
MB = 1024 * KB
STREAMS = 900
# Resets that fit into about 2 MB.
RESETS = 20_000

# Lowered limits, whose sum with 64 KB for each connection is below `BOUND_KB`.
LIMITS = {
    'max_connections': 64,
    'reserved_descriptors': 64,
    'max_handshakes': 32,
    'max_read_ahead_bytes': 64 * KB,
    'total_read_ahead_bytes': 2 * MB,
    'total_body_bytes': 8 * MB,
    'max_reply_bytes': MB,
    'total_reply_bytes': 4 * MB,
    'max_streams': 16,
    'total_streams': 64,
}
BOUND_KB = 24 * KB
# Connections of the limit, and some for links, files and new connections.
BOUND_DESCRIPTORS = 64 + 16


def requests_ahead(path, total_bytes=2 * MB):
    """Yields requests one behind the other."""
    request = f'GET {path} HTTP/1.1\r\nHost: h\r\n\r\n'.encode()
    block = request * (BLOCK_BYTES // len(request))
    yield from itertools.repeat(block, total_bytes // len(block))


def half_body(path, size_bytes):
    """Yields a request whose body lacks the last byte."""
    head = f'POST {path} HTTP/1.1\r\nHost: h\r\nContent-Length: {size_bytes}'
    yield f'{head}\r\n\r\n'.encode()
    yield bytes(size_bytes - 1)


def tiny_chunks(path, size_bytes):
    """Yields a request with a body in chunks of one byte, without its end."""
    head = f'POST {path} HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked'
    yield f'{head}\r\n\r\n'.encode()
    yield b'1\r\nx\r\n' * size_bytes


def streams(path, *, reset=False):
    """Yields HTTP/2 requests whose replies may not be sent, or are reset."""
    config = h2.config.H2Configuration(client_side=True)
    connection = h2.connection.H2Connection(config)
    connection.initiate_connection()
    connection.update_settings(
        {h2.settings.SettingCodes.INITIAL_WINDOW_SIZE: 0}
    )
    fields = [
        (':method', 'GET'),
        (':path', path),
        (':scheme', 'http'),
        (':authority', 'h'),
    ]
    for number in range(RESETS if reset else STREAMS):
        connection.send_headers(2 * number + 1, fields, end_stream=True)
        if reset:
            connection.reset_stream(2 * number + 1)
    yield connection.data_to_send()


class Crowd:
    """Connections that send what they can and read nothing.

    Attributes:
        sent_bytes: What all connections have sent.
        closed: Connections that the server closed; others replaced them.
    """

    def __init__(self, address, connections, make_blocks, replacements=1000):
        self.sent_bytes = 0
        self.closed = 0
        self._address = address
        self._make_blocks = make_blocks
        self._replacements = replacements
        self._selector = selectors.DefaultSelector()
        self._sockets = set()
        self._stopped = threading.Event()
        for _ in range(connections):
            self._open()
        self._thread = threading.Thread(target=self._press, daemon=True)
        self._thread.start()

    def close(self):
        self._stopped.set()
        self._thread.join()
        for connection in tuple(self._sockets):
            connection.close()
        self._selector.close()

    def _open(self):
        connection = socket.socket()
        connection.settimeout(5.0)
        with contextlib.suppress(OSError):
            connection.connect(self._address)
        connection.setblocking(False)
        self._sockets.add(connection)
        self._selector.register(
            connection,
            selectors.EVENT_WRITE,
            [memoryview(b''), iter(self._make_blocks())],
        )

    def _press(self):
        while not self._stopped.is_set():
            ready = self._selector.select(0.05)
            for key, _ in ready:
                self._send(key.fileobj, key.data)
            if not ready:
                time.sleep(0.01)

    def _send(self, connection, state):
        if not state[0]:
            state[0] = memoryview(next(state[1], b''))
        if not state[0]:
            # All is sent; only the end of the connection is of interest.
            self._selector.modify(connection, selectors.EVENT_READ, state)
            self._look_for_end(connection)
            return
        try:
            sent = connection.send(state[0])
        except BlockingIOError:
            return
        except OSError:
            self._replace(connection)
            return
        self.sent_bytes += sent
        state[0] = state[0][sent:]

    def _look_for_end(self, connection):
        try:
            received = connection.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return
        except OSError:
            received = b''
        if received:
            # A reply, which stays unread.
            self._selector.unregister(connection)
        else:
            self._replace(connection)

    def _replace(self, connection):
        self.closed += 1
        self._selector.unregister(connection)
        self._sockets.discard(connection)
        connection.close()
        if self._replacements:
            self._replacements -= 1
            self._open()


class Usage:
    """Memory and descriptors of a process since this object was created."""

    def __init__(self, pid):
        self._folder = Path(f'/proc/{pid}')
        # Resets the peak of the resident memory.
        (self._folder / 'clear_refs').write_text('5')
        self._initial_kb = self._read_kb('VmRSS')
        self._initial_descriptors = self._count_descriptors()
        self._peak_descriptors = self._initial_descriptors
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._watch, daemon=True)
        self._thread.start()

    def close(self):
        """Ends the count; returns the growth in KB and in descriptors."""
        self._stopped.set()
        self._thread.join()
        return (
            self._read_kb('VmHWM') - self._initial_kb,
            self._peak_descriptors - self._initial_descriptors,
        )

    def _watch(self):
        while not self._stopped.wait(0.05):
            count = self._count_descriptors()
            self._peak_descriptors = max(self._peak_descriptors, count)

    def _read_kb(self, name):
        for line in (self._folder / 'status').read_text().splitlines():
            if line.startswith(f'{name}:'):
                return int(line.split()[1])
        raise AssertionError(f'the process has ended, no {name}')

    def _count_descriptors(self):
        with contextlib.suppress(FileNotFoundError):
            return len(list((self._folder / 'fd').iterdir()))
        return 0
