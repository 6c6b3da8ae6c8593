"""Root of the command tree."""

from fire.decorators import SetParseFn

from ..client import Submission, TimelineQuery
from .bench import BenchCommands
from .context import Action, Context
from .documents import DocumentCommands
from .jobs import (
    DEFAULT_DEADLINE_S,
    TaskSource,
    cancel_job,
    default_caller,
    generate_key,
    show_status,
    submit_job,
    write_generated_key,
)
from .options import parse_flag, parse_number
from .settings import SettingsCommands
from .views import show_metrics, show_timeline

NUMBER_OPTIONS = ('deadline_s', 'cores', 'memory_mb', 'since_s', 'until_s')


class Cactushead:
    """Submits jobs and service documents to cactushead and shows its state.

    Options of all commands:
        --entry URL[,URL]  addresses of the entries, tried in this order
        --settings FILE    client settings, JSON: {"entries": [URL, ...]}
        --json             output as JSON

    Without these options the addresses are those of the environment variable
    CACTUSHEAD_ENTRIES, or http://127.0.0.1:8470 if it is not set. Exit codes:
    0 success, 1 refused or failed, 2 usage error.
    """

    @SetParseFn(str)
    @SetParseFn(parse_flag, 'json')
    def __init__(
        self,
        *,
        entry: str = '',
        settings: str = '',
        json: bool = False,
    ) -> None:
        """Stores the options of all commands."""
        self._context = Context(entry, settings, json)
        self.document = DocumentCommands(self._context)
        self.bench = BenchCommands(self._context)
        self.settings = SettingsCommands(self._context)

    @SetParseFn(str)
    @SetParseFn(parse_flag, 'no_wait')
    @SetParseFn(parse_number, *NUMBER_OPTIONS)
    def submit(  # noqa: WPS211  each option is an argument
        self,
        service: str,
        kind: str,
        *inputs: str,
        input: str = '',  # noqa: WPS125  the option's name
        file: str = '',
        key: str = '',
        caller: str = '',
        deadline_s: float = DEFAULT_DEADLINE_S,
        cores: float | None = None,
        memory_mb: float | None = None,
        no_wait: bool = False,
    ) -> Action:
        """Submits a job and waits for its result.

        If an entry does not respond, the next one is tried with the same key;
        no task is started twice.

        Args:
            service: Name of the service.
            kind: Request kind, as defined by the service's document.
            inputs: Further inputs as JSON, one task each.
            input: Input of a task as JSON; further inputs may follow it.
            file: File with one task per line: {"input": ..., "cores": ...}.
            key: Idempotency key; default: a generated one, which is printed.
            caller: Name of the caller; default: the name of the user.
            deadline_s: Time from the submission to the complete result.
            cores: Declared processor cores of each task.
            memory_mb: Declared memory of each task.
            no_wait: Return as soon as the job is admitted.
        """
        texts = (input, *inputs) if input else inputs
        source = TaskSource(texts, file, cores, memory_mb)

        async def perform() -> int:
            submission = Submission(
                service=service,
                key=key or generate_key(),
                kind=kind,
                caller=caller or default_caller(),
                deadline_s=deadline_s,
                tasks=source.read_tasks(),
                wait=not no_wait,
            )
            if not key:
                write_generated_key(self._context, submission.key)
            return await submit_job(self._context, submission)

        return Action(perform)

    @SetParseFn(str)
    def status(self, service: str, key: str) -> Action:
        """Shows the state of a job, and its results once it is complete.

        Args:
            service: Name of the service.
            key: Idempotency key of the job.
        """
        return Action(lambda: show_status(self._context, service, key))

    @SetParseFn(str)
    def cancel(self, service: str, key: str) -> Action:
        """Cancels a job.

        Args:
            service: Name of the service.
            key: Idempotency key of the job.
        """
        return Action(lambda: cancel_job(self._context, service, key))

    @SetParseFn(str)
    @SetParseFn(parse_number, *NUMBER_OPTIONS)
    def timeline(
        self,
        *,
        job: str = '',
        service: str = '',
        since_s: float | None = None,
        until_s: float | None = None,
    ) -> Action:
        """Shows the events of all processes, merged in order.

        Args:
            job: Only events of the job with this key.
            service: Only events of this service.
            since_s: Only events from this wall clock time, Unix seconds.
            until_s: Only events up to this wall clock time, Unix seconds.
        """
        query = TimelineQuery(job, service)
        if since_s is not None:
            query = TimelineQuery(job, service, since_s, query.until_s)
        if until_s is not None:
            query = TimelineQuery(job, service, query.since_s, until_s)
        return Action(lambda: show_timeline(self._context, query))

    def metrics(self) -> Action:
        """Shows the metrics of the first entry that responds."""
        return Action(lambda: show_metrics(self._context))
