"""One item that is larger than an engine's memory, the first of a batch submission of ten, and other submissions beside it."""

import asyncio
import time

from standin import client, rules
from standin.deployment import batch_route, run

FINISH_S = 18
RETENTION_S = 60


async def case(deployment, record, trouble):
    await deployment.start([("notes", "v1", 1)], [batch_route("notes", retention_s=RETENTION_S)])
    batches = []
    for index in range(7):
        job = f"{index + 0x7c41e0:x}9b52d6a3f8"
        items = [client.item(name, events=40, gap_ms=20) for name in client.item_names(job, 10)]
        if trouble and index == 0:
            # A prompt of 80,000 tokens; the engines' memory is 72,000.
            items[0] = client.item(items[0]["id"], events=40, gap_ms=20, prompt=80_000)
        batches.append(client.Batch(deployment.hosts, record, job, items))
    for batch in batches:
        if not await batch.submit():
            record(f"submission {batch.job} was not accepted")
        await asyncio.sleep(0.3)
    accepted = [batch for batch in batches if 202 in batch.statuses]
    traffic_ended_at = time.monotonic()
    until = traffic_ended_at + FINISH_S + 6
    await asyncio.gather(*(batch.read_until(until) for batch in accepted))
    await asyncio.sleep(max(0.0, until - time.monotonic()) if trouble else 0)
    for entry in deployment.runs():
        record(f"run of {entry.id} at {entry.engine} after event {entry.after}, finished: {entry.is_finished}")
    lost = rules.lost(deployment, accepted, "notes")
    # The item that no engine can do is not counted.
    too_large = batches[0].items[0]["id"] if trouble else None
    lost = [name for name in lost if name != too_large]
    for name in lost:
        record(f"lost: {name}")
    record(f"{len(lost)} items lost, {sum(len(batch.results) for batch in accepted)} listed")
    if trouble:
        # For the record only: what becomes of the items once they may be given up.
        await asyncio.gather(*(batch.read_until(traffic_ended_at + RETENTION_S + 10) for batch in accepted))
        ran = {entry.id for entry in deployment.runs()}
        given_up = [name for batch in accepted for name, state in batch.results.items() if state == "abandoned"]
        for name in given_up:
            record(f"given up: {name}, {'ran before' if name in ran else 'never ran'}")
    return not lost


run(case)
