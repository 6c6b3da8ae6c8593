"""Typed answers of the entries to callers and operators."""

from dataclasses import dataclass

from .fields import Fields, JsonValue

FINAL_STATES = frozenset(('complete', 'failed'))
UNKNOWN_STATE = 'unknown'


@dataclass(frozen=True, slots=True)
class JobView:
    """A job as an entry shows it.

    Attributes:
        service: Name of the service.
        key: Idempotency key.
        state: `queued`, `running`, `complete` or `failed`.
        results: Answers in task order; empty unless complete.
        error: Why the job failed, empty otherwise.
        not_run: Whether it is certain that no task was or can be started.
        tasks: Number of tasks, 0 if unsaid.
        ended_tasks: Number of tasks with an outcome, 0 if unsaid.
    """

    service: str
    key: str
    state: str
    results: 'tuple[JsonValue, ...]' = ()
    error: str = ''
    not_run: bool = False
    tasks: int = 0
    ended_tasks: int = 0

    @property
    def final(self) -> bool:
        """Whether the state can't change any more."""
        return self.state in FINAL_STATES


@dataclass(frozen=True, slots=True)
class DocumentView:
    """An accepted document and where it is in force.

    Attributes:
        service: Name of the service.
        version: The accepted version.
        in_force: Processes that hold this version or a newer one.
        pending: Processes that have not confirmed it yet.
    """

    service: str
    version: int
    in_force: tuple[str, ...]
    pending: tuple[str, ...]


def read_job(service: str, key: str, fields: Fields) -> JobView:
    """Reads a job from an entry's answer.

    Examples:
        >>> body = b'{"job": "k1", "state": "complete", "results": [1, 2]}'
        >>> view = read_job('sample', 'k1', Fields.decode(body))
        >>> view.final, view.results
        (True, (1, 2))

    Args:
        service: Name of the service.
        key: Idempotency key of the request.
        fields: The decoded answer.
    """
    return JobView(
        service=service,
        key=fields.text('job', key),
        state=fields.text('state', UNKNOWN_STATE),
        results=tuple(fields.listed('results')),
        error=fields.text('error'),
        not_run=fields.flag('not_run'),
        tasks=fields.whole('tasks'),
        ended_tasks=fields.whole('ended_tasks'),
    )


def read_document(service: str, fields: Fields) -> DocumentView:
    """Reads the answer to a submitted document.

    Args:
        service: Name of the service.
        fields: The decoded answer.
    """
    return DocumentView(
        service=fields.text('service', service),
        version=fields.whole('version'),
        in_force=fields.texts('in_force'),
        pending=fields.texts('pending'),
    )
