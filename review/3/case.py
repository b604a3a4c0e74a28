"""The route of a batch submission moves to another service, while the service that it had goes on with other routes."""

import asyncio
import time

from standin import client, rules
from standin.deployment import batch_route, run, stream_route

FINISH_S = 18


async def case(deployment, record, trouble):
    old, new = "notes-a", "notes-b"
    services = [(old, "v1", 1), (new, "v2", 1)]
    await deployment.start(services, [stream_route(old), batch_route(old)])
    batches = []
    for index in range(2):
        job = f"{index + 0x61c0e0:x}9b52d6a3f8"
        items = [client.item(name, events=120, gap_ms=50) for name in client.item_names(job, 10)]
        batches.append(client.Batch(deployment.hosts, record, job, items))
    for batch in batches:
        if not await batch.submit():
            record(f"submission {batch.job} was not accepted")
    accepted = [batch for batch in batches if 202 in batch.statuses]
    await asyncio.sleep(2.5)
    if trouble:
        await deployment.configure([stream_route(old), batch_route(new)])
        record(f"the batch route moves from {old} to {new}; the stream route stays")
    await asyncio.sleep(0.5)
    # Usual online requests, which go before batch work: as many as the service has places.
    hosts = deployment.hosts
    streams = [
        client.stream(hosts[n % len(hosts)], record, old, f"{0x9c41d07b + n:x}a35f68", events=40, gap_ms=50) for n in range(24)
    ]
    await asyncio.gather(*streams)
    traffic_ended_at = time.monotonic()
    until = traffic_ended_at + FINISH_S + 6
    await asyncio.gather(*(batch.read_until(until) for batch in accepted))
    await asyncio.sleep(max(0.0, until - time.monotonic()) if trouble else 0)
    for entry in deployment.runs():
        record(f"run of {entry.id} at {entry.engine} after event {entry.after}, finished: {entry.is_finished}")
    lost = rules.lost(deployment, accepted, new if trouble else old)
    for name in lost:
        record(f"lost: {name}")
    record(f"{len(lost)} items lost, {sum(len(batch.results) for batch in accepted)} listed")
    return not lost


run(case)
