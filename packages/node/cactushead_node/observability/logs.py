"""Log format of the processes.

Explanation:
    Each part of a process has a logger `cactushead.<part>`, and the text of
    each line starts with that part, such as `entry: drain begun`. A message
    that already starts with the part is not prefixed again.
"""

import json
import logging
import sys
from datetime import UTC, datetime

from ..settings import LogForm, LogSettings

ROOT_LOGGER = 'cactushead'
# Below this level, libraries log details of each connection.
LIBRARY_LEVEL = logging.WARNING


class TextFormatter(logging.Formatter):
    """Formats log records as human-readable lines.

    Examples:
        >>> record = logging.makeLogRecord(
        ...     {'name': 'cactushead.entry', 'levelname': 'INFO',
        ...      'msg': 'drain', 'created': 0},
        ... )
        >>> TextFormatter().format(record)
        '1970-01-01T00:00:00.000Z info entry: drain'
    """

    def format(self, record: logging.LogRecord) -> str:
        """Returns a log record as text.

        Args:
            record: The log record.
        """
        line = (
            f'{_time_text(record)} {record.levelname.lower()} '
            f'{part_of(record.name)}: {_message_text(record)}'
        )
        traceback = _traceback_text(record)
        return f'{line}\n{traceback}' if traceback else line


class JsonFormatter(logging.Formatter):
    """Formats each log record as a JSON object on one line.

    Examples:
        >>> record = logging.makeLogRecord(
        ...     {'name': 'cactushead.entry', 'levelname': 'INFO',
        ...      'msg': 'drain', 'created': 0},
        ... )
        >>> print(JsonFormatter().format(record))
        {"time": "1970-01-01T00:00:00.000Z", "level": "info", \
"part": "entry", "message": "drain"}
    """

    def format(self, record: logging.LogRecord) -> str:
        """Returns a log record as JSON text.

        Args:
            record: The log record.
        """
        fields = {
            'time': _time_text(record),
            'level': record.levelname.lower(),
            'part': part_of(record.name),
            'message': _message_text(record),
        }
        traceback = _traceback_text(record)
        if traceback:
            fields['fault'] = traceback
        return json.dumps(fields)


def set_up_logs(settings: LogSettings) -> None:
    """Configures logging to the standard error stream.

    Args:
        settings: Level and format.
    """
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(
        JsonFormatter() if settings.form is LogForm.JSON else TextFormatter(),
    )
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(LIBRARY_LEVEL)
    logging.getLogger(ROOT_LOGGER).setLevel(settings.level.upper())


def part_of(logger_name: str) -> str:
    """Returns the part of the process that a logger belongs to.

    Examples:
        >>> part_of('cactushead.storage'), part_of('websockets.client')
        ('storage', 'websockets')
    """
    first, _, rest = logger_name.partition('.')
    return rest or first if first == ROOT_LOGGER else first


def _message_text(record: logging.LogRecord) -> str:
    return record.getMessage().removeprefix(f'{part_of(record.name)}: ')


def _time_text(record: logging.LogRecord) -> str:
    time = datetime.fromtimestamp(record.created, UTC)
    text = time.isoformat(timespec='milliseconds')
    return text.replace('+00:00', 'Z')


def _traceback_text(record: logging.LogRecord) -> str:
    if record.exc_info is None:
        return ''
    return logging.Formatter().formatException(record.exc_info)
