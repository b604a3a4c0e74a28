"""A stand-in of an engine, as the users' pages describe it."""

import asyncio
import json
import time

from . import http

SLOTS = 8
QUEUE = 24
MEMORY_TOKENS = 72_000


class Run:
    """A request that the engine has begun to work on."""

    def __init__(self, engine, request, after):
        self.engine = engine.id
        self.id = request.headers["tinbank-attempt-id"]
        self.path = request.target
        self.after = after
        self.began_at = time.monotonic()
        self.ended_at = None
        self.is_finished = False


class Engine:
    """Sends as many events as the body of a request says, at the gap that it says."""

    def __init__(self, id, service, zone, version):
        self.id = id
        self.service = service
        self.zone = zone
        self.version = version
        self.slots = asyncio.Semaphore(SLOTS)
        self.waiting = 0
        self.running = 0
        self.sequence = 0
        self.runs = []
        self.refused = []
        self.state = "ready"

    async def start(self, address, store):
        self.address = address
        self.server, self.port = await http.serve(address, 0, self.handle)
        await self.write_entry(store)

    async def write_entry(self, store):
        self.sequence += 1
        entry = {
            "service": self.service, "address": f"{self.address}:{self.port}", "zone": self.zone,
            "version": self.version, "slots": SLOTS, "state": self.state, "cold_remaining_ms": 0,
            "stage": "both", "models": [{"name": "m", "version": 1, "adapters": []}], "sequence": self.sequence,
        }
        await store.put("keyed.servers", self.id, entry)

    async def handle(self, request):
        if request.path == "/v1/report":
            report = {
                "stage": "both", "models": [{"name": "m", "version": 1, "adapters": []}], "busy": False, "sequence": 0,
                "waiting": self.waiting, "running": self.running, "kv_cache_used": 0,
                "kv_cache_total": MEMORY_TOKENS, "handles": 0,
            }
            return http.respond(request, 200, json.dumps(report), [("Content-Type", "application/json")])
        if request.method != "POST":
            return http.respond(request, 200, b"", [("Tinbank-Instance-Id", self.id)])
        headers = request.headers
        if headers.get("tinbank-expected-instance", self.id) != self.id:
            return http.respond(request, 421, b"", [("Tinbank-Instance-Id", self.id)])
        if "tinbank-attempt-id" not in headers:
            return http.respond(request, 400, b"", [("Tinbank-Not-Executed", "1")])
        prompt, _, output = headers.get("tinbank-token-usage", "1,1").partition(",")
        is_too_large = int(prompt) + int(output) > MEMORY_TOKENS
        if is_too_large or self.waiting >= QUEUE:
            self.refused.append(headers["tinbank-attempt-id"])
            return http.respond(request, 503, b"", [("Tinbank-Not-Executed", "1")])
        # When the channel closes, the engine drops the request.
        work = asyncio.ensure_future(self.work(request))
        closed = asyncio.ensure_future(request.reader.read(1))
        await asyncio.wait({work, closed}, return_when=asyncio.FIRST_COMPLETED)
        work.cancel()
        closed.cancel()
        return False

    async def work(self, request):
        self.waiting += 1
        try:
            await self.slots.acquire()
        finally:
            self.waiting -= 1
        after = int(request.headers.get("last-event-id", 0))
        run = Run(self, request, after)
        self.runs.append(run)
        self.running += 1
        try:
            await self.send(request, run, after)
        finally:
            run.ended_at = time.monotonic()
            self.running -= 1
            self.slots.release()

    async def send(self, request, run, after):
        wanted = json.loads(request.body)
        writer = request.writer
        head = [
            "HTTP/1.1 200 OK", "Content-Type: text/event-stream", "Transfer-Encoding: chunked",
            f"Tinbank-Attempt-Id: {run.id}", f"Tinbank-Response-Signature: {self.id}.{run.id}",
            "Tinbank-Weight-Versions: 1", "Connection: close",
        ]
        writer.write(("\r\n".join(head) + "\r\n\r\n").encode())
        for number in range(after + 1, wanted["events"] + 1):
            await asyncio.sleep(wanted["gap_ms"] / 1000)
            event = f"id: {number}\ndata: {run.id}.{number}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
        run.is_finished = True
        writer.write(b"0\r\n\r\n")
        await writer.drain()
