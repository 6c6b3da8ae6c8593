"""Jobs and documents as parsed from the responses of entries."""

from dataclasses import dataclass

from .fields import Fields, JsonValue

TERMINAL_STATES = frozenset(('complete', 'failed'))
UNKNOWN_STATE = 'unknown'


@dataclass(frozen=True, slots=True)
class JobView:
    """State of a job as reported by an entry.

    Attributes:
        service: Name of the service.
        key: Idempotency key.
        state: `queued`, `running`, `complete` or `failed`.
        results: Results in task order; empty unless the job is complete.
        error: Why the job failed, empty otherwise.
        not_run: Whether it is certain that no task was or will be started.
        tasks: Number of tasks, 0 if not reported.
        ended_tasks: Number of tasks with an outcome, 0 if not reported.
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
        """Whether the job is in a terminal state."""
        return self.state in TERMINAL_STATES


@dataclass(frozen=True, slots=True)
class DocumentView:
    """An accepted document and the processes where it is in force.

    Attributes:
        service: Name of the service.
        version: The accepted version.
        in_force: Processes where this version or a newer one is in force.
        pending: Processes that have not confirmed it yet.
    """

    service: str
    version: int
    in_force: tuple[str, ...]
    pending: tuple[str, ...]


def parse_job_view(service: str, key: str, fields: Fields) -> JobView:
    """Parses the state of a job.

    Examples:
        >>> body = b'{"job": "k1", "state": "complete", "results": [1, 2]}'
        >>> view = parse_job_view('sample', 'k1', Fields.decode(body))
        >>> view.final, view.results
        (True, (1, 2))

    Args:
        service: Name of the service.
        key: Idempotency key, for a response that has none.
        fields: The decoded response body.
    """
    return JobView(
        service=service,
        key=fields.text('job', key),
        state=fields.text('state', UNKNOWN_STATE),
        results=tuple(fields.array('results')),
        error=fields.text('error'),
        not_run=fields.flag('not_run'),
        tasks=fields.integer('tasks'),
        ended_tasks=fields.integer('ended_tasks'),
    )


def parse_document_view(service: str, fields: Fields) -> DocumentView:
    """Parses the response to a submitted document.

    Args:
        service: Name of the service.
        fields: The decoded response body.
    """
    return DocumentView(
        service=fields.text('service', service),
        version=fields.integer('version'),
        in_force=fields.texts('in_force'),
        pending=fields.texts('pending'),
    )
