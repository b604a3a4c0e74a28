"""Checks of the users' rules by what the clients and the engines have seen."""

import time

CALM_S = 5.0
NONE_FINISHED_S = 3.0


def lost(deployment, batches, service):
    """Returns the items that are lost by the rule LOST for items of open batch submissions, once `finish_s` has passed: neither completed
    nor abandoned, although in the last 5 s no engine held an unlisted item of their submission and its engines stood under half full, and
    no item of any submission was finished in the last 3 s. No item fails in these cases. The caller makes sure that the last 5 s were calm."""
    now = time.monotonic()
    runs = deployment.runs()
    items = {it["id"] for batch in batches for it in batch.items}
    if any(run.is_finished and run.id in items and run.ended_at > now - NONE_FINISHED_S for run in runs):
        return []
    recent = [run for run in runs if run.ended_at is None or run.ended_at > now - CALM_S]
    slots = 8 * sum(engine.service == service for engine in deployment.engines)
    if 2 * len(recent) >= slots:
        return []
    found = []
    for batch in batches:
        unlisted = set(batch.unlisted())
        if not any(run.id in unlisted for run in recent):
            found += sorted(unlisted)
    return found
