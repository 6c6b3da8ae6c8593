"""A transport that returns scripted responses."""

import json

from cactushead_cli.client import HttpRequest, HttpResponse, Transport


def json_response(status, body, retry_after_s=0.0):
    return HttpResponse(status, json.dumps(body).encode(), retry_after_s)


class ScriptedTransport(Transport):
    """Returns or raises the scripted outcomes and records the requests."""

    def __init__(self, **outcomes_by_entry):
        self.outcomes = {
            f'http://{name}': list(outcomes)
            for name, outcomes in outcomes_by_entry.items()
        }
        self.requests: list[tuple[str, HttpRequest]] = []

    @property
    def tried_entries(self):
        return [entry for entry, _ in self.requests]

    async def _send(self, entry, request):
        self.requests.append((entry, request))
        outcome = self.outcomes[entry].pop(0)
        if isinstance(outcome, Exception):
            raise outcome
        return outcome
