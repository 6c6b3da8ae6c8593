"""Runs a process until a signal stops it."""

import gc
import logging
import os
import signal
import sys
from typing import Protocol

import trio
from cactushead_core.errors import CactusheadError

from .observability import set_up_logs
from .settings import LogSettings

EXIT_FAILED = 1

_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
_EXTERNAL_ERRORS = (OSError, CactusheadError)

_log = logging.getLogger('cactushead.main')


class Process(Protocol):
    """A process of any role."""

    async def run(self, stop: trio.Event) -> None:
        """Runs until the stop event is set and the process has drained."""


def run_process(
    process: Process,
    log: LogSettings,
    log_file: str = '',
    *,
    supervised: bool = False,
) -> None:
    """Runs a process until a signal stops it and it has drained.

    Args:
        process: The process to run.
        log: Level and format of the log.
        log_file: File to append the log to; empty for stderr.
        supervised: Whether a service manager sends the signals. It may
            repeat SIGTERM, so that only SIGKILL ends the process at once.

    Raises:
        SystemExit: The process failed.
    """
    _configure_logging(log, log_file)
    # Objects created by imports live as long as the process, so that the
    # garbage collector need not scan them again.
    gc.collect()
    gc.freeze()
    try:
        trio.run(_run_until_stopped, process, supervised)
    except Exception as error:
        _log_failure(error)
        sys.exit(EXIT_FAILED)


def _log_failure(error: Exception) -> None:
    """Logs why the process failed.

    Explanation:
        Errors of the environment, such as a port in use, are logged as one
        line each; for programming errors the traceback is logged too.
    """
    causes = _flatten_exceptions(error)
    for cause in causes:
        _log.error('main: %s', cause)
    if not all(isinstance(leaf, _EXTERNAL_ERRORS) for leaf in causes):
        _log.error('main: the process failed', exc_info=error)


def _flatten_exceptions(error: BaseException) -> list[BaseException]:
    if not isinstance(error, BaseExceptionGroup):
        return [error]
    return [
        leaf
        for nested in error.exceptions
        for leaf in _flatten_exceptions(nested)
    ]


async def _run_until_stopped(process: Process, supervised: bool) -> None:
    stop = trio.Event()
    async with trio.open_nursery() as nursery:
        await nursery.start(_watch_signals, stop, supervised)
        await process.run(stop)
        nursery.cancel_scope.cancel()


async def _watch_signals(
    stop: trio.Event,
    supervised: bool,
    task_status: trio.TaskStatus[None],
) -> None:
    if supervised:
        # Outside the receiver below, signals are ignored, so that those that
        # arrive while the process exits do not change its exit status.
        for ignored in _SIGNALS:
            signal.signal(ignored, signal.SIG_IGN)
    with trio.open_signal_receiver(*_SIGNALS) as signals:
        task_status.started()
        async for number in signals:
            name = signal.Signals(number).name
            if number == signal.SIGHUP:
                _log.info('main: SIGHUP, settings hold until the next start')
            elif supervised and stop.is_set():
                _log.info('main: %s again, the drain goes on', name)
            elif stop.is_set():
                _log.warning('main: %s again, exit at once', name)
                os._exit(EXIT_FAILED)
            else:
                _log.info('main: %s, drain', name)
                stop.set()


def _configure_logging(log: LogSettings, log_file: str) -> None:
    set_up_logs(log)
    if log_file:
        root = logging.getLogger()
        handler = logging.FileHandler(log_file)
        handler.setFormatter(root.handlers[0].formatter)
        root.handlers = [handler]
