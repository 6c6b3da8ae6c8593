"""Measures the time until a submitted document is in force in all processes.

The reply to a submission is sent once every connected process has confirmed
the version, so the response time is the measured value.
"""

import json
import sys
import time

import fire
import httpcore
from cactushead_node.upstreams.sample_document import SAMPLE_DOCUMENT
from hdrh.histogram import HdrHistogram

HTTP_OK = 200
US_PER_S = 1_000_000
MAX_RECORDED_S = 60
PERCENTILES = (50, 90, 99, 100)


def main(entry: str, changes: int = 100, first_version: int = 1000) -> None:
    """Submits versions of the sample document sequentially.

    Args:
        entry: URL of an entry.
        changes: Number of versions to submit.
        first_version: First version; must exceed the one in force.
    """
    histogram = HdrHistogram(1, MAX_RECORDED_S * US_PER_S, 3)
    pending = 0
    with httpcore.ConnectionPool() as pool:
        for version in range(first_version, first_version + changes):
            started_s = time.monotonic()
            pending += _submit(pool, entry, version)
            elapsed_s = time.monotonic() - started_s
            histogram.record_value(int(elapsed_s * US_PER_S))
    for percentile in PERCENTILES:
        value_s = histogram.get_value_at_percentile(percentile) / US_PER_S
        print(f'p{percentile}: {value_s:.4f} s')
    print(f'answers with unconfirmed processes: {pending}')


def _submit(pool: httpcore.ConnectionPool, entry: str, version: int) -> int:
    document = json.loads(SAMPLE_DOCUMENT) | {'version': version}
    response = pool.request(
        'PUT',
        f'{entry}/v1/documents/{document["service"]}',
        content=json.dumps(document).encode(),
    )
    if response.status != HTTP_OK:
        sys.exit(response.content.decode())
    return int(bool(json.loads(response.content)['pending']))


if __name__ == '__main__':
    fire.Fire(main)
