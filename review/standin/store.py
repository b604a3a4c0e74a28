"""A stand-in of the platform's store in the form of a log, as the users' pages describe it."""

import asyncio
import base64
import json
import random
import struct
import time

from . import http

PARTITIONS = 24
LATENCY_S = 0.004
APPEND_S = 0.001


class Partition:
    def __init__(self):
        self.records = []
        self.lock = asyncio.Lock()


class Store:
    def __init__(self):
        self.partitions = {}
        # Set, and replaced by a new one, when records are added.
        self.changed = asyncio.Event()
        self.members = {}
        self.generation = 0
        self.target = {}
        self.holder = {}
        # While set, up to this share of the appends is done late and not answered.
        self.loss = None
        # Appends since then, and how many of them were lost.
        self.appends = 0
        self.lost = 0
        self.random = random.Random(66)
        self.late = []

    async def start(self, address):
        self.server, self.port = await http.serve(address, 0, self.handle)

    def partition(self, topic, part):
        return self.partitions.setdefault((topic, part), Partition())

    async def handle(self, request):
        await asyncio.sleep(LATENCY_S)
        name = (request.method, request.path)
        if name == ("POST", "/v1/log-append"):
            return await self.append(request)
        if name == ("GET", "/v1/log-read"):
            return await self.read(request)
        if name == ("GET", "/v1/log-newest"):
            return self.newest(request)
        if name == ("POST", "/v1/log-join"):
            return self.join(request)
        if name == ("POST", "/v1/log-leave"):
            return self.leave(request)
        http.respond(request, 404)

    # The log.

    async def add(self, topic, part, records):
        """Appends records, and returns the offset of the first one and the end."""
        partition = self.partition(topic, part)
        async with partition.lock:
            await asyncio.sleep(APPEND_S)
            first = len(partition.records)
            partition.records += records
        self.changed.set()
        self.changed = asyncio.Event()
        return first, len(partition.records)

    async def append(self, request):
        topic, part = request.query["topic"], int(request.query["part"])
        records, at = [], 0
        while at < len(request.body):
            (size,) = struct.unpack_from(">I", request.body, at)
            records.append(request.body[at + 4:at + 4 + size])
            at += 4 + size
        if self.loss is not None and self.loses():
            # Done 1 to 6 s later and not answered. The channel says nothing further.
            delay = self.random.uniform(1.0, 6.0)
            self.late.append(asyncio.ensure_future(self.add_late(topic, part, records, delay)))
            await request.reader.read()
            return False
        offset, end = await self.add(topic, part, records)
        http.respond(request, 200, json.dumps({"offset": offset, "end": end}))

    def loses(self):
        """Returns whether the answer to an append is lost. No more than the share is, at any time."""
        self.appends += 1
        is_drawn = self.random.random() < self.loss
        if not is_drawn or self.lost + 1 > self.loss * self.appends:
            return False
        self.lost += 1
        return True

    async def add_late(self, topic, part, records, delay):
        await asyncio.sleep(delay)
        await self.add(topic, part, records)

    async def read(self, request):
        query = request.query
        partition = self.partition(query["topic"], int(query["part"]))
        start = int(query["from"])
        limit = int(query.get("max_kilobytes", 1024)) * 1024
        until = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        while len(partition.records) <= start:
            left = until - time.monotonic()
            if left <= 0:
                break
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                break
        body = bytearray(struct.pack(">QQ", len(partition.records), 0))
        for index, record in enumerate(partition.records[start:]):
            if index > 0 and len(body) + 4 + len(record) > limit:
                break
            body += struct.pack(">I", len(record)) + record
        http.respond(request, 200, bytes(body))

    def newest(self, request):
        records = self.partition(request.query["topic"], 0).records
        newest = {}
        for offset, record in enumerate(records):
            size = record[0]
            key, value = record[1:1 + size].decode(), record[1 + size:]
            newest.pop(key, None)
            if value:
                newest[key] = (offset, value)
        after = request.query.get("after_revision", "")
        keys = sorted(key for key in newest if key > after)
        items = [
            {"private_key": key, "value": base64.b64encode(newest[key][1]).decode(), "offset": newest[key][0]}
            for key in keys[:500]
        ]
        page = {"items": items, "has_more": len(keys) > 500, "end": len(records)}
        http.respond(request, 200, json.dumps(page))

    async def put(self, topic, key, value):
        """Writes the record of a key, as the operator and the servers do."""
        key = key.encode()
        value = b"" if value is None else json.dumps(value).encode()
        await self.add(topic, 0, [bytes([len(key)]) + key + value])

    # The group.

    def deal(self):
        """Drops members that are silent, and deals the partitions out evenly, with as few moves as possible."""
        now = time.monotonic()
        gone = [name for name, (at, ttl, _) in self.members.items() if now > at + ttl]
        for name in gone:
            del self.members[name]
        names = sorted(self.members)
        if not names:
            self.target = {}
            return
        counts = {name: 0 for name in names}
        most = -(-PARTITIONS // len(names))
        target = {}
        for part in range(PARTITIONS):
            name = self.target.get(part)
            if name in counts and counts[name] < most:
                target[part] = name
                counts[name] += 1
        for part in range(PARTITIONS):
            if part not in target:
                name = min(names, key=lambda it: counts[it])
                target[part] = name
                counts[name] += 1
        # A new member gets its share.
        while max(counts.values()) - min(counts.values()) > 1:
            rich = max(names, key=lambda it: counts[it])
            poor = min(names, key=lambda it: counts[it])
            part = next(part for part in range(PARTITIONS) if target[part] == rich)
            target[part] = poor
            counts[rich] -= 1
            counts[poor] += 1
        if target != self.target:
            self.generation += 1
            self.target = target

    def join(self, request):
        call = json.loads(request.body)
        name = call["member"]
        self.members[name] = (time.monotonic(), call["ttl_ms"] / 1000, call["generation"])
        self.deal()
        for part in range(PARTITIONS):
            holder = self.holder.get(part)
            is_released = holder == name and self.target[part] != name and call["generation"] >= self.generation
            if holder not in self.members or is_released:
                self.holder[part] = self.target[part]
        mine = [part for part in range(PARTITIONS) if self.target[part] == name and self.holder[part] == name]
        topic = call["topics"][0]
        answer = {"generation": self.generation, "parts": [[topic, part, 0] for part in mine]}
        http.respond(request, 200, json.dumps(answer))

    def leave(self, request):
        self.members.pop(json.loads(request.body)["member"], None)
        self.deal()
        http.respond(request, 200, "{}")
