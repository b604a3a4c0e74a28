"""A small deployment: processes of the entry program with the command and the settings of the deploy file, before stand-ins."""

import asyncio
import json
import os
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

from . import http
from .engine import Engine
from .store import PARTITIONS, Store

ROOT = Path(__file__).resolve().parents[2]
ZONES = ["brisbane-north", "logan", "ipswich"]
HOST = "nony24.example"


class CannotRun(Exception):
    """The case can't run on this machine."""


def fill(template, fields):
    """Fills the gaps of a template as the users' page on the deploy file says."""

    def find(path, scope):
        value = scope
        for name in path.split("."):
            if isinstance(value, list):
                value = value[int(name)] if int(name) < len(value) else None
            else:
                value = value.get(name) if isinstance(value, dict) else None
        return value

    def section(match):
        return match.group(2) if find(match.group(1), fields) else ""

    def gap(match):
        path, as_json = match.group(1), match.group(2)
        value = find(path, fields)
        if as_json or isinstance(value, (dict, bool)):
            return json.dumps(value)
        return "" if value is None else str(value)

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", gap, text)


def bounds():
    return {
        "contact_ms": 3000, "drain_ms": 2000, "grace_period_s": 8, "config_apply_ms": 2000, "finish_s": 18, "status_s": 120,
        "cancel_ms": 3000, "settle_ms": 1000, "quota_overshoot": 0.1,
    }


class Host:
    def __init__(self, deployment, name, zone, address):
        self.deployment = deployment
        self.name = name
        self.zone = zone
        self.address = address
        self.process = None
        self.ports = [free_port(address) for _ in range(4)]
        self.log = deployment.folder / f"{name}.log"

    def write_settings(self):
        callers, ready, peers, _ = self.ports
        fields = {
            "node_name": self.name, "zone": self.zone, "ip_address": self.address,
            "internal_port_range": [peers, peers + 15],
            "listen_addresses": {"frontend": f"{self.address}:{callers}", "ready": f"{self.address}:{ready}"},
            "limits": {"cpu_share": 0.5, "cpu_cores": 1, "memory_mb": 300, "link_mbps": 1000.0},
            "platform": {
                "address": f"{self.deployment.store_address}:{self.deployment.store.port}", "parts": PARTITIONS,
                "record_bytes": 262144, "call_bytes": 2097152, "min_ttl_ms": 1000,
            },
            "bounds": bounds(), "zones": {zone: "seq" for zone in ZONES},
        }
        self.settings = self.deployment.folder / f"{self.name}.jsonc"
        self.settings.write_text(fill(self.deployment.template, fields))

    def start(self):
        self.write_settings()
        command = self.deployment.command.replace("/etc/tinbank/local.toml", str(self.settings)).split()
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(command, cwd=ROOT, stdout=log, stderr=log, stdin=subprocess.DEVNULL)

    def signal(self, number):
        if self.process and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self):
        if self.process:
            self.signal(signal.SIGCONT)
            self.signal(signal.SIGKILL)
            self.process.wait()

    async def is_ready(self):
        status, _, _ = await http.call(self.address, self.ports[1], "GET", "/v1/readiness", {"Host": "ready"}, timeout=1.0)
        return status == 200

    async def call(self, method, target, headers, body=b"", timeout=10.0):
        return await http.call(self.address, self.ports[0], method, target, {"Host": HOST, **headers}, body, timeout)


def free_port(address):
    with socket.socket() as probe:
        probe.bind((address, 0))
        return probe.getsockname()[1]


class Deployment:
    def __init__(self, folder):
        self.folder = Path(folder)
        self.store = Store()
        self.engines = []
        self.hosts = []
        self.config_version = 0
        self.template = (ROOT / "deploy/entry.jsonc").read_text()
        system = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self.command = system["roles"]["entry"]["run"]
        if not (ROOT / self.command.split()[0]).exists():
            raise CannotRun("the program of the deploy file is not built")
        # Addresses that no other run uses.
        self.net = f"127.{1 + os.getpid() // 250 % 250}.{1 + os.getpid() % 250}"
        self.store_address = f"{self.net}.200"

    async def start(self, services, routes, hosts=3):
        """Starts the store, engines (a list of service, version and number in each zone) and the hosts."""
        await self.store.start(self.store_address)
        for service, version, count in services:
            for zone in ZONES:
                for index in range(count):
                    engine = Engine(f"i-{service}-{zone}-{index}", service, zone, version)
                    await engine.start(f"{self.net}.{100 + len(self.engines)}", self.store)
                    self.engines.append(engine)
        self.services = sorted({service for service, _, _ in services})
        await self.configure(routes)
        for index in range(hosts):
            zone = ZONES[index % len(ZONES)]
            self.hosts.append(Host(self, f"frontend-{zone}-{index // len(ZONES) + 1}", zone, f"{self.net}.{11 + index}"))
        for host in self.hosts:
            host.start()
        until = time.monotonic() + 20
        while not all([await host.is_ready() for host in self.hosts]):
            if time.monotonic() > until:
                raise CannotRun("the hosts did not become ready")
            await asyncio.sleep(0.2)
        # As on the users' installations, traffic starts some seconds after the machines.
        await asyncio.sleep(5)

    async def configure(self, routes):
        self.config_version += 1
        services = [
            {"name": name, "health_check_path": "/health", "max_connections": 290,
             "engine": {"slots": 8, "kv_cache_tokens": 72000, "max_queued_tokens": 12, "models": [{"name": "m"}]}}
            for name in self.services
        ]
        limits = {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
        config = {"version": self.config_version, "routes": routes, "services": services, "limits": limits}
        await self.store.put("keyed.op", "config", config)

    def runs(self):
        return [run for engine in self.engines for run in engine.runs]

    def end(self):
        for host in self.hosts:
            host.kill()


def stream_route(service, resumable=True):
    return {
        "name": f"r-stream-{service}", "hostname": HOST, "path_prefix": f"/stream-{service}/", "type": "streaming", "timeout_ms": 5000,
        "target_latency_ms": 300, "priority": 0, "service": service, "max_attempts": 2 if resumable else 1,
        "session_affinity": True, "resumable": resumable, "gap_aim_ms": 200,
    }


def batch_route(service, quota=1_400_000, retention_s=60):
    return {
        "name": "r-sweep", "hostname": HOST, "path_prefix": "/sweep/", "type": "batch", "timeout_ms": 15000,
        "target_latency_ms": 400, "priority": 2, "service": service, "max_attempts": 3, "session_affinity": True,
        "completion_target_ms": 18000, "retention_s": retention_s, "max_queued_tokens": quota,
    }


def run(case):
    """Runs a case and ends with its exit code. `case(deployment, record, trouble)` returns whether the rule held."""
    folder = Path(sys.argv[1])
    trouble = os.environ.get("TROUBLE", "1") != "0"
    # The processes are ended also if the script is.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    started_at = time.monotonic()
    with open(folder / "record.txt", "w") as file, tempfile.TemporaryDirectory() as scratch:

        def record(text):
            file.write(f"{time.monotonic() - started_at:8.3f} {text}\n")
            file.flush()

        verdicts = []

        async def play():
            deployment = Deployment(scratch)
            try:
                verdicts.append(await asyncio.wait_for(case(deployment, record, trouble), 110))
            finally:
                deployment.end()
                keep = os.environ.get("KEEP_LOGS")
                if keep:
                    for host in deployment.hosts:
                        Path(keep, f"{host.name}.log").write_bytes(host.log.read_bytes())

        record(f"disruption: {'on' if trouble else 'off'}")
        try:
            asyncio.run(play())
        except Exception as error:
            # What goes wrong while the stand-ins end changes no verdict.
            if not verdicts:
                record(f"the case could not run: {error!r}")
                print(f"could not run: {error!r}")
                sys.exit(2)
        held = verdicts[0]
        record("the rule held" if held else "THE RULE WAS BROKEN")
        print("held" if held else "broken")
        sys.exit(0 if held else 1)
