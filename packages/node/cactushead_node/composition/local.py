"""Wires a whole small system in one process.

Explanation:
    One entry, which is the only voter, one agent and the sample upstream run
    on one loop. They are joined by web sockets and HTTP over loopback, the
    same way as separate processes.
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
RETRY_S = 0.1

_TEMPORARY = (RefusalReason.NO_LEADER, RefusalReason.NO_ANSWER)

_log = logging.getLogger('cactushead.local')


class LocalProcess:
    """An entry, an agent and the sample upstream."""

    def __init__(self, settings: LocalSettings) -> None:
        """Opens the data folder.

        Args:
            settings: Checked settings.

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
        """Runs until the system is stopped and has drained.

        Args:
            stop: Is set when the system shall drain.
            task_status: Is told where callers are served.
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
                partial(self._entry.run, stop, leave=agent_ended),
            )
            agent = AgentProcess(
                _make_agent_settings(self._settings, ports.peers, sample_port),
            )
            nursery.start_soon(_prepare, self._entry)
            task_status.started(ports)
            # The entry stays until the leader in it has the last outcomes.
            await agent.run(self._entry.drained)
            agent_ended.set()


async def _prepare(entry: EntryProcess) -> None:
    """Submits the sample's document until it gets an answer for good."""
    document = parse_document(SAMPLE_DOCUMENT, SAMPLE_SERVICE)
    make_event = partial(DocumentSubmitted, document=document)
    response = await entry.requests.request(make_event)
    while _is_temporary(response):
        await trio.sleep(RETRY_S)
        response = await entry.requests.request(make_event)
    entry.status.end_preparation()
    _log.info('local: service %s is accepted', SAMPLE_SERVICE)


def _is_temporary(response: Response) -> bool:
    """Whether the cell can't decide yet; a conflict is for good.

    Explanation:
        An operator may have accepted a higher version of the document.
    """
    if not isinstance(response, RefusalResponse):
        return False
    return response.refusal.reason in _TEMPORARY


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
