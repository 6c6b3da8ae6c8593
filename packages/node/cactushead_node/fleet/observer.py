"""Logging of the decisions of a fleet's reducers."""

import logging

from cactushead_core.effects import Count, Measure, Record

from ..ports import Observer


class LoggingObserver(Observer):
    """Writes decisions to the log and discards measurements."""

    def __init__(self, component: str) -> None:
        """Creates an observer that logs under the name of a component.

        Args:
            component: Component that names the logger, such as `entry`.
        """
        self._log = logging.getLogger(f'cactushead.{component}')

    def record(self, effect: Record) -> None:
        """Logs a decision that is marked for logging."""
        if effect.logged:
            self._log.info(
                '%s %s %s',
                effect.kind,
                effect.subject,
                effect.detail,
            )

    def measure(self, effect: Measure) -> None:
        """Discards the duration."""

    def count(self, effect: Count) -> None:
        """Discards the count."""
