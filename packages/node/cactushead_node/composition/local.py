"""Composition of a complete local system in one process.

Explanation:
    One entry, which is the only voter, one agent and the sample upstream run
    in one event loop. They communicate through web sockets and HTTP over
    loopback, in the same way as separate processes.
"""

import logging
from functools import partial

import trio
from cactushead_core.documents.schema import parse_document
from cactushead_core.effects import RefusalResponse, Response
from cactushead_core.events import DocumentSubmitted
from cactushead_core.jobs import RefusalReason

from ..settings import (
    Address,
    AgentSettings,
    EntrySettings,
    LocalSettings,
    UpstreamSettings,
    VoterAddress,
)
from ..upstreams.sample import SampleUpstream
from ..upstreams.sample_document import SAMPLE_DOCUMENT, SAMPLE_SERVICE
from ..upstreams.sample_server import serve_sample
from .agent import AgentProcess
from .entry import EntryPorts, EntryProcess

LOOPBACK = '127.0.0.1'
ENTRY_NAME = 'local'
AGENT_NAME = 'sample-1'
CELL = 'local'
DATA_CENTRE = 'local'
RETRY_INTERVAL_S = 0.1

_TRANSIENT_REASONS = (RefusalReason.NO_LEADER, RefusalReason.NO_ANSWER)

_log = logging.getLogger('cactushead.local')


class LocalProcess:
    """An entry, an agent and the sample upstream in one process."""

    def __init__(self, settings: LocalSettings) -> None:
        """Opens the data folder and creates the entry.

        Args:
            settings: Validated settings.

        Raises:
            StorageError: The data folder can't be read.
        """
        self._settings = settings
        self._entry = EntryProcess(
            _make_entry_settings(settings),
            prepared=False,
        )

    async def run(
        self,
        stop: trio.Event,
        *,
        task_status: trio.TaskStatus[EntryPorts] = (trio.TASK_STATUS_IGNORED),
    ) -> None:
        """Runs until `stop` is set and the system has drained.

        Args:
            stop: Set when the system must drain.
            task_status: Receives the ports when the entry is listening.
        """
        agent_ended = trio.Event()
        async with trio.open_nursery() as nursery:
            sample_port = await nursery.start(
                serve_sample,
                SampleUpstream(),
                LOOPBACK,
                0,
                agent_ended.wait,
            )
            ports = await nursery.start(
                partial(self._entry.run, stop, exit_allowed=agent_ended),
            )
            agent = AgentProcess(
                _make_agent_settings(self._settings, ports.peers, sample_port),
            )
            nursery.start_soon(_submit_sample_document, self._entry)
            task_status.started(ports)
            # The entry, which is the leader, keeps running until the agent has
            # sent it the last outcomes.
            await agent.run(self._entry.drained)
            agent_ended.set()


async def _submit_sample_document(entry: EntryProcess) -> None:
    """Submits the sample document until the response is final."""
    document = parse_document(SAMPLE_DOCUMENT, SAMPLE_SERVICE)
    make_event = partial(DocumentSubmitted, document=document)
    response = await entry.requests.request(make_event)
    while _is_transient(response):
        await trio.sleep(RETRY_INTERVAL_S)
        response = await entry.requests.request(make_event)
    entry.status.mark_prepared()
    _log.info('local: service %s is accepted', SAMPLE_SERVICE)


def _is_transient(response: Response) -> bool:
    """Whether the refusal is transient; a version conflict is final.

    Explanation:
        After a version conflict a retry is of no use: an operator may have
        submitted a higher version of the document.
    """
    if not isinstance(response, RefusalResponse):
        return False
    return response.refusal.reason in _TRANSIENT_REASONS


def _make_entry_settings(settings: LocalSettings) -> EntrySettings:
    return EntrySettings(
        name=ENTRY_NAME,
        cell=CELL,
        data_centre=DATA_CENTRE,
        callers=settings.callers,
        peers=Address(LOOPBACK, 0),
        voters=(VoterAddress(ENTRY_NAME, LOOPBACK, 0),),
        data_dir=settings.data_dir,
        timing=settings.timing,
        bounds=settings.bounds,
        connections=settings.connections,
        log=settings.log,
    )


def _make_agent_settings(
    settings: LocalSettings,
    peers_port: int,
    sample_port: int,
) -> AgentSettings:
    return AgentSettings(
        name=AGENT_NAME,
        cell=CELL,
        data_centre=DATA_CENTRE,
        rack='',
        upstream=UpstreamSettings(
            LOOPBACK,
            sample_port,
            slots=settings.slots,
        ),
        voters=(VoterAddress(ENTRY_NAME, LOOPBACK, peers_port),),
        timing=settings.timing,
        bounds=settings.bounds,
        log=settings.log,
    )
