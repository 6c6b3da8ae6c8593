"""Address and specification of an agent's upstream."""

from dataclasses import dataclass
from urllib.parse import quote

from cactushead_core.agents.model import UpstreamSpec


@dataclass(frozen=True, slots=True)
class UpstreamTarget:
    """Upstream that an agent runs tasks at.

    Attributes:
        host: IP address.
        port: TCP port.
        run_path: URL path to which tasks are posted.
        health_path: URL path of the health check.
        spec: Specification that the agent announces.
    """

    host: str
    port: int
    run_path: str
    health_path: str
    spec: UpstreamSpec

    @property
    def run_url(self) -> str:
        """URL to which tasks are posted."""
        return f'http://{self.host}:{self.port}{self.run_path}'

    @property
    def health_url(self) -> str:
        """URL of the health check."""
        return f'http://{self.host}:{self.port}{self.health_path}'

    def task_url(self, task_id: str) -> str:
        """URL of one task.

        Examples:
            >>> spec = UpstreamSpec('u1')
            >>> target = UpstreamTarget('10.0.0.1', 80, '/run', '/up', spec)
            >>> target.task_url('sample/k1/0')
            'http://10.0.0.1:80/run/sample%2Fk1%2F0'

        Args:
            task_id: Id of the task.
        """
        return f'{self.run_url}/{quote(task_id, safe="")}'
