"""Stand-ins for the platform's store, for engines and for clients, and the start of the project's own program.

They speak what PROTOCOL.md says, over loopback addresses, with the standard library alone.
"""

import asyncio
import base64
import json
import os
import random
import re
import signal
import socket
import struct
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))


class NotRun(Exception):
    """The case could not run."""


# ---------------------------------------------------------------- record

class Record:
    """What was sent, answered and run, with the seconds since the start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.start = time.monotonic()

    def __call__(self, *words):
        line = f"{time.monotonic() - self.start:8.3f} " + " ".join(str(word) for word in words)
        self.file.write(line + "\n")
        self.file.flush()


# ---------------------------------------------------------------- HTTP

async def read_head(reader):
    """Returns the first line and the headers, or None at the end of the channel."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        if line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_chunks(reader):
    """Yields the chunks of a chunked body; raises at an early end."""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        if size == 0:
            return
        yield data[:-2]


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        return b"".join([chunk async for chunk in read_chunks(reader)])
    return await reader.readexactly(int(headers.get("content-length", "0")))


def head(status, headers):
    lines = [f"HTTP/1.1 {status} X"] + [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def query_of(target):
    path, _, query = target.partition("?")
    pairs = (pair.partition("=") for pair in query.split("&") if pair)
    return path, {key: value for key, _, value in pairs}


# ---------------------------------------------------------------- store

class Store:
    """The platform's store in the form of a log."""

    PARTS = 24

    def __init__(self, record):
        self.record = record
        self.topics = {}
        self.members = {}
        self.generation = 0
        self.changed = asyncio.Condition()
        # Topics and partitions that answer nothing and do nothing, while the others serve.
        self.silent = set()
        self.owners = {}

    async def start(self, ip):
        self.server = await asyncio.start_server(self.serve, ip, 0)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]

    async def put(self, topic, key, value):
        text = value if isinstance(value, bytes) else json.dumps(value).encode()
        await self.append(topic, 0, [bytes([len(key)]) + key.encode() + text])

    async def append(self, topic, part, records):
        log = self.topics.setdefault((topic, part), [])
        offset = len(log)
        log.extend(records)
        async with self.changed:
            self.changed.notify_all()
        return {"offset": offset, "end": len(log)}

    async def serve(self, reader, writer):
        try:
            while True:
                got = await read_head(reader)
                if got is None:
                    return
                first, headers = got
                method, target, _ = first.split(" ")
                body = await read_body(reader, headers)
                path, query = query_of(target)
                if self.is_silent(query):
                    return await asyncio.sleep(60)
                status, answer = await self.answer(method, path, query, body)
                if self.is_silent(query):
                    return await asyncio.sleep(60)
                kind = "application/octet-stream" if path == "/v1/log-read" else "application/json"
                writer.write(head(status, {"Content-Type": kind, "Content-Length": len(answer)}) + answer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    def is_silent(self, query):
        return (query.get("topic"), int(query.get("part", "0"))) in self.silent

    async def answer(self, method, path, query, body):
        part = int(query.get("part", "0"))
        topic = query.get("topic", "")
        if path == "/v1/log-append":
            records = []
            while body:
                (size,) = struct.unpack(">I", body[:4])
                records.append(body[4:4 + size])
                body = body[4 + size:]
            return 200, json.dumps(await self.append(topic, part, records)).encode()
        if path == "/v1/log-read":
            return 200, await self.read(topic, part, query)
        if path == "/v1/log-newest":
            return 200, self.newest(topic, query.get("after_revision"))
        if path == "/v1/log-join":
            return 200, self.join(json.loads(body))
        if path == "/v1/log-leave":
            self.members.pop(json.loads(body)["member"], None)
            self.deal()
            return 200, b"{}"
        return 404, b""

    async def read(self, topic, part, query):
        start, limit = int(query["from"]), int(query.get("max_kilobytes", "1024")) * 1024
        until = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
        log = self.topics.setdefault((topic, part), [])
        while len(log) <= start:
            left = until - time.monotonic()
            if left <= 0:
                break
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    break
        out = bytearray(struct.pack(">QQ", len(log), 0))
        for index, record in enumerate(log[start:]):
            if index and len(out) + 4 + len(record) > limit:
                break
            out += struct.pack(">I", len(record)) + record
        return bytes(out)

    def newest(self, topic, after):
        log = self.topics.get((topic, 0), [])
        kept = {}
        for offset, record in enumerate(log):
            size = record[0]
            key, value = record[1:1 + size].decode(), record[1 + size:]
            kept.pop(key, None)
            if value:
                kept[key] = {"private_key": key, "value": base64.b64encode(value).decode(), "offset": offset}
        keys = sorted(kept)
        if after is not None:
            after = re.sub("%([0-9A-Fa-f]{2})", lambda it: chr(int(it[1], 16)), after)
            keys = [key for key in keys if key > after]
        return json.dumps({"items": [kept[key] for key in keys[:500]], "has_more": len(keys) > 500, "end": len(log)}).encode()

    def deal(self):
        """Deals the partitions out evenly; one that is taken away stays with its member until that joins again."""
        names = sorted(self.members)
        self.generation += 1
        self.target = {part: names[part % len(names)] for part in range(self.PARTS)} if names else {}

    def join(self, call):
        now, member = time.monotonic(), call["member"]
        gone = [name for name, (at, ttl) in self.members.items() if now > at + ttl]
        for name in gone:
            del self.members[name]
        known = member in self.members
        self.members[member] = (now, call["ttl_ms"] / 1000)
        if gone or not known:
            self.deal()
        for part, target in self.target.items():
            owner = self.owners.get(part)
            if owner == member or owner not in self.members:
                self.owners[part] = target
        rows = [["owners", part, 0] for part, owner in sorted(self.owners.items()) if owner == member]
        return json.dumps({"generation": self.generation, "ttl_ms": call["ttl_ms"], "parts": rows}).encode()


# ---------------------------------------------------------------- engines

class Engine:
    """A sound engine. `work` is called with each request that it runs and writes the answer."""

    def __init__(self, record, store, name, zone, work, slots=8, service="notes"):
        self.record, self.store, self.name, self.zone, self.work = record, store, name, zone, work
        self.slots, self.service = slots, service
        self.running, self.sequence = 0, 0
        self.ran = []

    async def start(self, ip):
        self.server = await asyncio.start_server(self.serve, ip, 0)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]
        asyncio.ensure_future(self.beat())

    async def beat(self):
        while True:
            self.sequence += 1
            await self.store.put("keyed.servers", self.name, {
                "service": self.service, "address": self.address, "zone": self.zone, "version": "v1", "slots": self.slots,
                "state": "ready", "cold_remaining_ms": 0, "stage": "both",
                "models": [{"name": "m", "version": 1, "adapters": []}], "sequence": self.sequence})
            await asyncio.sleep(1.2)

    def sign(self, request_id):
        return {"Tinbank-Attempt-Id": request_id, "Tinbank-Response-Signature": f"{self.name}.{len(self.ran)}",
                "Tinbank-Weight-Versions": "1"}

    async def serve(self, reader, writer):
        try:
            while True:
                got = await read_head(reader)
                if got is None:
                    return
                first, headers = got
                method, target, _ = first.split(" ")
                body = await read_body(reader, headers)
                if target == "/v1/report":
                    text = json.dumps({"stage": "both", "models": [], "busy": False, "sequence": 1, "waiting": 0,
                                       "running": self.running, "kv_cache_used": 0, "kv_cache_total": 72000, "handles": 0}).encode()
                    writer.write(head(200, {"Content-Type": "application/json", "Content-Length": len(text)}) + text)
                    await writer.drain()
                    continue
                if headers.get("tinbank-expected-instance", self.name) != self.name:
                    writer.write(head(421, {"Tinbank-Instance-Id": self.name, "Content-Length": 0}))
                    await writer.drain()
                    continue
                request_id = headers.get("tinbank-attempt-id", "")
                self.ran.append(request_id)
                self.running += 1
                self.record(f"engine {self.name} runs {request_id} {method} {target}")
                try:
                    await self.work(self, reader, writer, target, headers, body)
                finally:
                    self.running -= 1
                    self.record(f"engine {self.name} has ended {request_id}")
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


def event(number, data):
    return f"id: {number}\ndata: {data}\n\n".encode()


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


# ---------------------------------------------------------------- the project's program

def fill(template, fields):
    """Fills a settings template as DEPLOY.md says."""

    def look(name, scopes):
        for scope in reversed(scopes):
            value = scope
            for word in name.split("."):
                if isinstance(value, dict) and word in value:
                    value = value[word]
                elif isinstance(value, list) and word.isdigit() and int(word) < len(value):
                    value = value[int(word)]
                else:
                    break
            else:
                return value
        return None

    def run(text, scopes):
        def section(match):
            value = look(match[2], scopes)
            wanted = value not in (None, False) if match[1] == "#" else value in (None, False)
            return run(match[3], scopes) if wanted else ""
        text = re.sub(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", section, text, flags=re.S)

        def gap(match):
            name, _, kind = match[1].partition("|")
            value = look(name, scopes)
            if kind == "json" or isinstance(value, (dict, bool)):
                return json.dumps(value)
            if isinstance(value, list):
                return ",".join(str(it) for it in value)
            return "" if value is None else str(value)
        return re.sub(r"\{\{([\w.|]+)\}\}", gap, text)

    return run(template, [fields])


class Host:
    """A process of the project's program, with the command and the settings of the deploy file."""

    def __init__(self, record, store, name, zone, ip, zones):
        self.record, self.name, self.zone, self.ip = record, name, zone, ip
        self.process = None
        ports = [free_port(ip) for _ in range(3)]
        self.callers, self.ready = f"{ip}:{ports[0]}", f"{ip}:{ports[1]}"
        fields = {
            "node_name": name, "role": "entry", "machine_class": "frontend", "serves": ["frontend"], "ip_address": ip, "zone": zone,
            "region": "seq", "internal_port_range": [ports[2], ports[2] + 1], "zones": {it: "seq" for it in zones},
            "listen_addresses": {"frontend": self.callers, "ready": self.ready},
            "limits": {"cpu_share": 0.5, "cpu_cores": 1, "memory_mb": 300, "file_descriptors": 8200, "link_mbps": 1000.0, "disk_mb": 0},
            "bounds": {"drain_ms": 2000, "grace_period_s": 8, "loss_slack_ms": 200, "status_s": 120, "contact_ms": 3000},
            "platform": {"address": store.address, "form": "log", "parts": store.PARTS, "record_bytes": 262144,
                         "call_bytes": 2097152, "retention_s": 300, "min_ttl_ms": 1000},
        }
        with open(os.path.join(ROOT, "deploy/entry.jsonc")) as template:
            text = fill(template.read(), fields)
        file, self.settings = tempfile.mkstemp(suffix=".jsonc")
        with os.fdopen(file, "w") as out:
            out.write(text)

    async def start(self):
        log = open(os.environ["HOST_LOG"] + "." + self.name, "a") if "HOST_LOG" in os.environ else asyncio.subprocess.DEVNULL
        program = os.path.join(ROOT, "target/release/tinbank-entry")
        if not os.path.exists(program):
            raise NotRun("the program is not built")
        self.process = await asyncio.create_subprocess_exec(
            program, "--settings", self.settings, cwd=ROOT, stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log)
        self.record(f"host {self.name} started, callers {self.callers}, process {self.process.pid}")

    def signal(self, number):
        self.record(f"host {self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def is_ready(self):
        try:
            status, _, _ = await asyncio.wait_for(call(self.ready, "GET", "/v1/readiness", {}), 1)
            return status == 200
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False

    async def wait_ready(self, seconds=20):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if await self.is_ready():
                self.record(f"host {self.name} is ready")
                return
            await asyncio.sleep(0.1)
        raise NotRun(f"host {self.name} is not ready in time")

    async def end(self):
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
        if os.path.exists(self.settings):
            os.remove(self.settings)


def free_port(ip):
    """Returns a port that is free for TCP and UDP."""
    while True:
        port = random.randrange(20000, 32000)
        try:
            with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
                tcp.bind((ip, port))
                udp.bind((ip, port))
                return port
        except OSError:
            continue


def free_net():
    """Returns the first three numbers of loopback addresses on which port 9464, that of the metrics, is free."""
    for _ in range(100):
        net = f"127.{random.randrange(2, 250)}.{random.randrange(1, 250)}"
        try:
            for last in range(1, 20):
                with socket.socket() as tcp:
                    tcp.bind((f"{net}.{last}", 9464))
            return net
        except OSError:
            continue
    raise NotRun("no free loopback addresses")


# ---------------------------------------------------------------- clients

async def call(address, method, target, headers, body=b""):
    """One call over a channel of its own."""
    ip, port = address.rsplit(":", 1)
    reader, writer = await asyncio.open_connection(ip, int(port))
    try:
        headers = {"Host": "one.example", "Content-Length": len(body), **headers}
        lines = [f"{method} {target} HTTP/1.1"] + [f"{name}: {value}" for name, value in headers.items()]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        await writer.drain()
        got = await read_head(reader)
        if got is None:
            raise asyncio.IncompleteReadError(b"", None)
        first, answered = got
        return int(first.split(" ")[1]), answered, await read_body(reader, answered)
    finally:
        writer.close()


def route(name, kind, **more):
    return {"name": name, "hostname": "one.example", "path_prefix": f"/{name}/", "type": kind, "timeout_ms": 5000,
            "target_latency_ms": 300, "priority": 0, "service": "notes", "max_attempts": 1, **more}


def manifest(version, routes):
    return {"version": version, "routes": routes,
            "services": [{"name": "notes", "health_check_path": "/health", "max_connections": 290, "protocol": "h1", "tls": False,
                          "engine": {"slots": 8, "kv_cache_tokens": 72000, "kv_cache_bytes": 131072, "models": [{"name": "m"}]}}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}


# ---------------------------------------------------------------- running a case

def main(folder, case):
    """Runs a case, which returns whether the rule held. Exits with 0 if it held, 1 if it was broken, 2 if the case could not run."""
    record = Record(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    hosts = []

    async def run():
        # Connections that end with the case are no finding.
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        try:
            return await asyncio.wait_for(case(record, hosts, trouble), 110)
        finally:
            for host in hosts:
                await host.end()

    try:
        held = asyncio.run(run())
    except Exception as error:  # An error of the case itself says nothing about the rule.
        record("the case could not run:", repr(error))
        print("could not run:", repr(error))
        sys.exit(2)
    record("the rule held" if held else "the rule was broken")
    print("held" if held else "broken")
    sys.exit(0 if held else 1)
