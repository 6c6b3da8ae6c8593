"""Maps requests to queues by host and path prefix."""

from .model import Configuration, QueueDocument


class QueueTable:
    """Routing table: queues by host, the longest path prefix first.

    Examples:
        >>> one = QueueDocument('one', 'h', '/a/', 's')
        >>> two = QueueDocument('two', 'h', '/a/b/', 's')
        >>> table = QueueTable(Configuration(1, b'', (one, two)))
        >>> table.find('h', '/a/b/42').name
        'two'
        >>> table.find('h', '/c') is None
        True
    """

    def __init__(self, configuration: Configuration) -> None:
        """Builds the table from a configuration.

        Args:
            configuration: The configuration.
        """
        self._queues: dict[str, list[QueueDocument]] = {}
        for queue in configuration.queues:
            self._queues.setdefault(queue.host.lower(), []).append(queue)
        for queues in self._queues.values():
            queues.sort(key=_prefix_length, reverse=True)

    def find(self, host: str, path: str) -> QueueDocument | None:
        """Returns the queue of a request, None if none matches.

        Args:
            host: Host of the request, without a port.
            path: Path of the request.
        """
        for queue in self._queues.get(host.lower(), ()):
            if path.startswith(queue.path_prefix):
                return queue
        return None


def _prefix_length(queue: QueueDocument) -> int:
    return len(queue.path_prefix)
