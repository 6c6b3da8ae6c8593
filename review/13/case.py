"""A runner crashes and starts again under its id as another kind."""

import asyncio

from standins import (
    TROUBLE,
    Fleet,
    configuration,
    job,
    main,
    new_id,
    record,
    submit,
)

DOWN_S = 4.0
WAIT_S = 15.0
WORK_S = 0.8
JOBS = 12
# Of the runners only the first has the label.
LABEL = 'a'
LABELS = [['a', 'r1'], ['b', 'r1'], ['b', 'r2']]


async def case():
    fleet = Fleet(entries=3, runners=3, labels=LABELS)
    try:
        await fleet.start()
        route = {'slack-factor': 20, 'timeout-ms': int(WAIT_S * 1000)}
        await fleet.configure(configuration(1, [route]))
        await fleet.wait_ready()
        await asyncio.sleep(4)
        clients = []
        for number in range(JOBS):
            body = job(WORK_S, **{'required-label': LABEL})
            clients.append(asyncio.ensure_future(
                submit(fleet.front_of(number % 3), new_id(), body, WAIT_S)
            ))
            await asyncio.sleep(0.1)
        runner = fleet.runners[0]
        if TROUBLE:
            runner.crash()
            await asyncio.sleep(DOWN_S)
            await runner.start_again(['b', 'r1'])
        await asyncio.gather(*clients)
        wrong = []
        for one in fleet.runners:
            for started_s, life, task, run, labels in one.starts:
                known_s = one.acknowledged.get(life)
                if LABEL not in labels and known_s and started_s > known_s:
                    wrong.append(task)
                    record(f'{one.name} life {life} was told to start {task}'
                           f' run {run}, which needs the label {LABEL!r}, and'
                           f' has {labels}; {started_s - known_s:.3f} s after'
                           ' its heartbeat was acknowledged')
        return bool(wrong)
    finally:
        fleet.close()


main(case)
