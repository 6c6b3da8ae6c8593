"""The tree of commands."""

from fire.decorators import SetParseFn

from ..client import Submission, TimelineQuery
from .bench import BenchCommands
from .context import Action, Context
from .documents import DocumentCommands
from .jobs import (
    DEFAULT_DEADLINE_S,
    TaskSource,
    announce_key,
    cancel_job,
    default_caller,
    new_key,
    show_status,
    submit_job,
)
from .options import parse_flag, parse_number
from .settings import SettingsCommands
from .views import show_metrics, show_timeline

NUMBER_OPTIONS = ('deadline_s', 'cores', 'memory_mb', 'since_s', 'until_s')


class Cactushead:
    """Submits jobs and service documents to cactushead and shows its state.

    Options of all commands:
        --entry URL[,URL]  addresses of the entries, tried in turn
        --settings FILE    client settings, JSON: {"entries": [URL, ...]}
        --json             output as JSON

    Without them the environment variable CACTUSHEAD_ENTRIES is read, and
    then http://127.0.0.1:8470 is taken. Exit codes: 0 done, 1 refused or
    failed, 2 bad use.
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
        """Reads the options of all commands."""
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
        """Submits a job and waits for its whole answer.

        A lost answer is asked for again with the same key, through any
        entry; no task starts twice.

        Args:
            service: Name of the service.
            kind: Request kind of the service's document.
            inputs: More inputs, one task each.
            input: Input of a task as JSON; more may follow it.
            file: File with one task a line: {"input": ..., "cores": ...}.
            key: Idempotency key; one is generated and printed if left out.
            caller: Who asks; the user's name if left out.
            deadline_s: Time until the whole answer is needed.
            cores: Declared processor cores of each task.
            memory_mb: Declared memory of each task.
            no_wait: Return once the job is admitted.
        """
        texts = (input, *inputs) if input else inputs
        source = TaskSource(texts, file, cores, memory_mb)

        async def perform() -> int:
            submission = Submission(
                service=service,
                key=key or new_key(),
                kind=kind,
                caller=caller or default_caller(),
                deadline_s=deadline_s,
                tasks=source.read(),
                wait=not no_wait,
            )
            if not key:
                announce_key(self._context, submission.key)
            return await submit_job(self._context, submission)

        return Action(perform)

    @SetParseFn(str)
    def status(self, service: str, key: str) -> Action:
        """Shows the state of a job, and its answer once it has ended.

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
        """Shows the events of all processes in order.

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
        """Shows percentiles and counters of the entry that answers."""
        return Action(lambda: show_metrics(self._context))
