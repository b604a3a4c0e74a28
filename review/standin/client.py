"""Clients of batch submissions and of streams, as the users' pages describe them."""

import asyncio
import base64
import json
import random
import time


def item(name, events, gap_ms, prompt=350, output=None, tokens=None):
    output = 2 * events if output is None else output
    body = json.dumps({"events": events, "gap_ms": gap_ms}).encode()
    return {
        "id": name, "path": f"/sweep/3/{name}",
        "headers": {
            "Tinbank-Model": "m", "Tinbank-Token-Usage": f"{prompt},{output}",
            "Tinbank-Prompt-Prefix": f"9c2e41:100,{name}:{prompt - 100}",
        },
        "body": base64.b64encode(body).decode(), "tokens": prompt + output if tokens is None else tokens,
    }


def item_names(job, count):
    return [f"{job}{index:04x}" for index in range(count)]


class Batch:
    """A batch submission and what its client has seen of it."""

    def __init__(self, hosts, record, job, items, retries=1, seed=0):
        self.hosts = hosts
        self.record = record
        self.job = job
        self.items = items
        self.retries = retries
        self.statuses = []
        self.results = {}
        self.random = random.Random(f"{seed}{job}")

    async def submit(self):
        """Sends the submission, and after 429, 503, no answer or another 5xx again at another host. Returns whether it was accepted."""
        body = json.dumps({"items": self.items}).encode()
        hosts = self.random.sample(self.hosts, len(self.hosts))
        until = time.monotonic() + 4.0
        for attempt in range(1 + self.retries):
            host = hosts[attempt % len(hosts)]
            left = until - time.monotonic()
            if left < 0.2:
                break
            headers = {
                "Tinbank-Attempt-Id": self.job, "Content-Type": "application/json",
                "Tinbank-Time-Remaining": str(int(left * 1000)),
            }
            status, answer, _ = await host.call("POST", f"/sweep/{self.job[:6]}", headers, body, timeout=left)
            self.statuses.append(status)
            self.record(f"submission {self.job} ({len(self.items)} items) at {host.name}, attempt {attempt + 1}: {status}")
            if status == 202:
                return True
            if status is not None and status < 500 and status != 429:
                break
            pause = float(answer.get("retry-after", 0.1))
            await asyncio.sleep(min(pause, max(0.0, (until - time.monotonic()) / 3)))
        return False

    async def read(self):
        """Reads the new results once."""
        host = self.random.choice(self.hosts)
        target = f"/v1/lots/{self.job}?after_revision={len(self.results)}"
        status, _, body = await host.call("GET", target, {"Tinbank-Long-Poll-Wait": "100"}, timeout=2.0)
        if status != 200:
            return
        for result in json.loads(body)["results"]:
            self.results[result["id"]] = result["state"]
            self.record(f"result of {result['id']}: {result['state']}")

    async def read_until(self, until):
        while time.monotonic() < until and len(self.results) < len(self.items):
            await self.read()
            await asyncio.sleep(0.5)

    def unlisted(self):
        return [it["id"] for it in self.items if it["id"] not in self.results]


async def stream(host, record, service, name, events, gap_ms):
    """Sends an online request."""
    headers = {
        "Tinbank-Attempt-Id": name, "Tinbank-Model": "m", "Tinbank-Token-Usage": f"450,{events}",
        "Tinbank-Prompt-Prefix": f"77aa:200,{name}:250", "Tinbank-Time-Remaining": "5000",
    }
    body = json.dumps({"events": events, "gap_ms": gap_ms}).encode()
    status, _, answer = await host.call("POST", f"/stream-{service}/2f", headers, body, timeout=5.0)
    record(f"stream {name} at {host.name}: {status}, {answer.count(b'id: ')} events")
    return status
