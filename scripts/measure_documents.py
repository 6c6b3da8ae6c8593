"""Measures how long an accepted document takes to be in force everywhere.

The answer to a document waits until every connected process has confirmed the
version, so its time is the measure.
"""

import json
import sys
import time

import fire
import httpcore
from cactushead_node.upstreams.sample_document import SAMPLE_DOCUMENT
from hdrh.histogram import HdrHistogram

OK = 200
MICROSECONDS = 1_000_000
LONGEST_S = 60
PERCENTILES = (50, 90, 99, 100)


def main(entry: str, changes: int = 100, first_version: int = 1000) -> None:
    """Submits versions of the sample's document one after the other.

    Args:
        entry: URL of an entry.
        changes: Number of versions.
        first_version: First version; above the one in force.
    """
    histogram = HdrHistogram(1, LONGEST_S * MICROSECONDS, 3)
    pending = 0
    with httpcore.ConnectionPool() as pool:
        for version in range(first_version, first_version + changes):
            started_s = time.monotonic()
            pending += _submit(pool, entry, version)
            elapsed_s = time.monotonic() - started_s
            histogram.record_value(int(elapsed_s * MICROSECONDS))
    for percentile in PERCENTILES:
        value_s = histogram.get_value_at_percentile(percentile) / MICROSECONDS
        print(f'p{percentile}: {value_s:.4f} s')
    print(f'answers with unconfirmed processes: {pending}')


def _submit(pool: httpcore.ConnectionPool, entry: str, version: int) -> int:
    document = json.loads(SAMPLE_DOCUMENT) | {'version': version}
    response = pool.request(
        'PUT',
        f'{entry}/v1/documents/{document["service"]}',
        content=json.dumps(document).encode(),
    )
    if response.status != OK:
        sys.exit(response.content.decode())
    return int(bool(json.loads(response.content)['pending']))


if __name__ == '__main__':
    fire.Fire(main)
