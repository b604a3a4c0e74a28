"""Submissions come while the quota is in use, and a share of the store's writes is done seconds later and not answered."""

import asyncio

from standin import client
from standin.deployment import batch_route, run

# Tokens that may wait on the route, all of which the first three submissions take.
QUOTA = 42_000
# The largest dose of `platform_lost` in the site file: x = 0.35, for_s = 4.5, how = "late".
SHARE = 0.35
FOR_S = 4.5
SUBMISSIONS = 24


async def case(deployment, record, trouble):
    await deployment.start([("notes", "v1", 1)], [batch_route("notes", quota=QUOTA)])

    def batch(number, tokens, events):
        job = f"{0x5a10e0 + number:x}9b52d6a3f8"
        names = client.item_names(job, 7)
        items = [client.item(name, events, gap_ms=50, output=tokens - 350) for name in names]
        return client.Batch(deployment.hosts, record, job, items)

    first = [batch(number, 2_000, events=80) for number in range(3)]
    for it in first:
        if not await it.submit():
            record(f"submission {it.job} was not accepted, the quota is not in use")
    await asyncio.sleep(0.5)
    if trouble:
        deployment.store.loss = SHARE
    record(f"{SHARE if trouble else 0} of the writes to the store are lost from now on")

    async def submit_later(it, delay):
        await asyncio.sleep(delay)
        await it.submit()

    later = [batch(100 + number, 400, events=20) for number in range(SUBMISSIONS)]
    sending = [asyncio.ensure_future(submit_later(it, 0.1 + 2.0 * n / SUBMISSIONS)) for n, it in enumerate(later)]
    await asyncio.sleep(FOR_S)
    deployment.store.loss = None
    record(f"no more writes are lost; {deployment.store.lost} of {deployment.store.appends} were")
    await asyncio.gather(*sending)
    # Late writes are done up to 6 s after they were sent, and what was accepted by them runs.
    await asyncio.sleep(14)
    runs = {}
    for entry in deployment.runs():
        runs.setdefault(entry.id, []).append(entry)
        record(f"run of {entry.id} at {entry.engine} after event {entry.after}, finished: {entry.is_finished}")
    refused = [it for it in later if it.statuses and all(status in (429, 503) for status in it.statuses)]
    broken = 0
    for it in refused:
        ran = [item["id"] for item in it.items if item["id"] in runs]
        if ran:
            broken += 1
            record(f"submission {it.job} was answered {it.statuses} and {len(ran)} of its {len(it.items)} items ran")
    record(f"{len(later)} submissions, {len(refused)} refused on every attempt, {broken} of these ran")
    return broken == 0


run(case)
