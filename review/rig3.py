"""Stand-ins of the platform's store, of workers and of clients, and the start of sidecars, for the
scripts of this review. Everything runs on loopback addresses in one process; only the sidecars are
separate processes. The stand-ins do what PROTOCOL.md and DEPLOY.md say of them and nothing else."""
import asyncio
import base64
import json
import os
import random
import signal
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
PROGRAM = os.path.join(ROOT, "target", "bin", "runshelf")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SETTINGS = "RUNSHELF_NODE_FILE"
START = time.monotonic()


def now():
    return time.monotonic() - START


class CannotRun(Exception):
    pass


class Record:
    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", buffering=1)

    def __call__(self, who, what):
        self.file.write(f"{now():9.3f} {who} {what}\n")


async def read_message(reader, body=True):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    data = b""
    if not body:
        return lines[0], headers, data
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            data += await reader.readexactly(size)
            await reader.readline()
            if size == 0:
                break
    elif "content-length" in headers:
        data = await reader.readexactly(int(headers["content-length"]))
    return lines[0], headers, data


def message(first, headers, body=b""):
    text = first + "\r\n" + "".join(f"{k}: {v}\r\n" for k, v in headers)
    return text.encode() + f"Content-Length: {len(body)}\r\n\r\n".encode() + body


REASONS = {200: "OK", 400: "Bad Request", 404: "Not Found", 409: "Conflict", 410: "Gone",
           412: "Precondition Failed", 421: "Misdirected Request", 500: "Internal Server Error",
           503: "Service Unavailable", 504: "Gateway Timeout"}


def answer(status, headers=(), body=b""):
    return message(f"HTTP/1.1 {status} {REASONS[status]}", list(headers), body)


class Store:
    """The platform's store: items, leases, watches; linearizable, loses nothing."""

    def __init__(self, ip, port, record):
        self.address = f"{ip}:{port}"
        self.ip, self.port, self.record = ip, port, record
        self.revision = 0
        self.items = {}
        self.leases = {}
        self.next_lease = 1000
        self.history = []
        self.changed = asyncio.Event()
        self.delay = 0.004
        self.era = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, self.port, limit=1 << 24)
        asyncio.get_running_loop().create_task(self.expire())

    async def expire(self):
        while True:
            await asyncio.sleep(0.02)
            for lease, (_, until) in list(self.leases.items()):
                if time.monotonic() >= until:
                    self.end_lease(lease)

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        gone = [key for key, item in self.items.items() if item["lease"] == lease]
        if gone:
            self.change([], gone)

    def change(self, puts, removes):
        self.revision += 1
        for put in puts:
            old = self.items.get(put["private_key"])
            item = {"private_key": put["private_key"], "value": put["value"],
                    "revision": self.revision, "made": old["made"] if old else self.revision,
                    "lease": put.get("lease", 0)}
            self.items[put["private_key"]] = item
            self.history.append((self.revision, dict(item)))
        for key in removes:
            if key in self.items:
                del self.items[key]
                self.history.append((self.revision, {"private_key": key, "revision": self.revision,
                                                     "gone": True}))
        self.changed.set()
        self.changed = asyncio.Event()
        return self.revision

    def put(self, key, value):
        """A write of the operator; its return is the acknowledgement."""
        self.change([{"private_key": key, "value": base64.b64encode(value).decode()}], [])
        self.record("operator", f"acknowledged {key} {value[:60]!r}")

    def value(self, key):
        item = self.items.get(key)
        return base64.b64decode(item["value"]) if item else None

    async def serve(self, reader, writer):
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, target, _ = first.split(" ")
                await asyncio.sleep(self.delay)
                status, result = await self.call(method, target, body)
                extra = [("Content-Type", "application/json")]
                if self.era is not None:
                    extra.append(("Store-Era", self.era))
                writer.write(answer(status, extra, json.dumps(result).encode()))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def call(self, method, target, body):
        from urllib.parse import parse_qs, urlsplit
        url = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(url.query).items()}
        path = url.path
        if path == "/runshelf/kv-key":
            item = self.items.get(query["private_key"])
            return (200, dict(item, at=self.revision)) if item else (404, {"at": self.revision})
        if path == "/runshelf/kv-range":
            keys = sorted(k for k in self.items if k.startswith(query.get("path_prefix", ""))
                          and k > query.get("after", ""))
            return 200, {"items": [self.items[k] for k in keys[:500]], "more": len(keys) > 500,
                         "at": self.revision}
        if path == "/runshelf/kv-watch":
            until = time.monotonic() + int(query["wait_timeout_ms"]) / 1000
            after = int(query["after"])
            while True:
                events = [e for r, e in self.history
                          if r > after and e["private_key"].startswith(query["path_prefix"])]
                left = until - time.monotonic()
                if events or left <= 0:
                    return 200, {"events": events, "at": self.revision}
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        if path == "/runshelf/kv-lease":
            ttl = json.loads(body)["ttl_ms"]
            self.next_lease += 1
            self.leases[self.next_lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {"lease": self.next_lease, "ttl_ms": ttl}
        if path.startswith("/runshelf/kv-keep/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, {}
            ttl = self.leases[lease][0]
            self.leases[lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {"ttl_ms": ttl}
        if path.startswith("/runshelf/kv-lease-end/"):
            self.end_lease(int(path.rsplit("/", 1)[1]))
            return 200, {}
        if path == "/runshelf/kv-txn":
            txn = json.loads(body)
            entries = sum(len(txn.get(k, [])) for k in ("expected_revision", "put", "remove"))
            if entries > 32:  # "carries at most 32 entries"
                self.record("store", f"refuses a transaction of {entries} entries, "
                                     f"{len(txn.get('expected_revision', []))} of them conditions")
                return 400, {}
            for row in txn.get("expected_revision", []):
                item = self.items.get(row["private_key"])
                if (item["revision"] if item else 0) != row["revision"]:
                    found = [self.items.get(r["private_key"], {"private_key": r["private_key"],
                                                               "revision": 0})
                             for r in txn["expected_revision"]]
                    return 412, {"items": found}
            for put in txn.get("put", []):
                if put.get("lease", 0) and put["lease"] not in self.leases:
                    return 404, {}
            return 200, {"revision": self.change(txn.get("put", []), txn.get("remove", []))}
        return 404, {}


class Worker:
    """A worker of one service. Slots, heartbeats, health check, keys, as PROTOCOL.md says."""

    def __init__(self, name, service, ip, port, control_plane, zone, record, slots=18,
                 work_s=0.05, sharded=False, beat_s=1.3):
        self.service, self.ip, self.port, self.zone = service, ip, port, zone
        self.name, self.record, self.slots, self.work_s = name, record, slots, work_s
        self.control_plane, self.sharded, self.beat_s = control_plane, sharded, beat_s
        self.address = f"{ip}:{port}"
        self.id = f"i-{random.getrandbits(32):08x}"
        self.sequence = 0
        self.state = "ready"
        self.running = 0
        self.waiting = 0
        self.grants = {}
        self.runs = []
        self.free = None            # the slots
        self.slow_reading_s = 0     # before each 64 KiB of a long body
        self.tasks = []
        self.writers = set()

    async def start(self):
        self.free = asyncio.Semaphore(self.slots)
        self.server = await asyncio.start_server(self.serve, self.ip, self.port, limit=1 << 17)
        self.beating = asyncio.get_running_loop().create_task(self.beat())

    async def call(self, call, body):
        host, port = self.control_plane.split(":")
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(host, int(port)), 1)
            writer.write(message(f"POST /runshelf/rpc?call={call}&of={self.id} HTTP/1.1",
                                 [("Host", self.control_plane),
                                  ("Content-Type", "application/json")],
                                 json.dumps(body).encode() if body is not None else b""))
            first, _, data = await asyncio.wait_for(read_message(reader), 1)
            writer.close()
            return int(first.split(" ")[1])
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return 0

    def heartbeat(self):
        self.sequence += 1
        return {"service": self.service, "address": self.address, "zone": self.zone,
                "version": "v1", "slots": self.slots, "state": self.state, "cold_remaining_ms": 0,
                "call_sequence": self.sequence}

    async def beat(self):
        while True:
            status = await self.call("instances.heartbeat", self.heartbeat())
            if status != 200:
                self.record(self.name, f"heartbeat unacknowledged ({status})")
            await asyncio.sleep(self.beat_s if status == 200 else 0.3)

    def crash(self):
        """The process ends: nothing listens, connections are reset, no word to anybody."""
        self.server.close()
        self.beating.cancel()
        for writer in list(self.writers):
            writer.transport.abort()
        for task in list(self.tasks):
            task.cancel()
        self.record(self.name, "crashed")

    def holds(self, key):
        return any(a <= key <= b and until > time.monotonic()
                   for (a, b), (fence, until) in self.grants.items())

    async def serve(self, reader, writer):
        task = asyncio.current_task()
        self.tasks.append(task)
        self.writers.add(writer)
        try:
            while True:
                first, headers, _ = await read_message(reader, body=False)
                data = 0
                left = int(headers.get("content-length", 0))
                body = b""
                while left:
                    if self.slow_reading_s and left > 65536:
                        await asyncio.sleep(self.slow_reading_s)
                    piece = await reader.read(min(left, 65536))
                    if not piece:
                        return
                    left -= len(piece)
                    data += len(piece)
                    if data <= 65536:
                        body += piece
                method, target, _ = first.split(" ")
                out = await self.answer(method, target, headers, body, reader)
                if out is None:
                    return
                writer.write(out)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.tasks.remove(task)
            self.writers.discard(writer)
            writer.close()

    def stated(self):
        return [("Instance-Id", self.id),
                ("Server-Load", f"{self.running},{self.waiting},{self.slots}")]

    async def answer(self, method, target, headers, body, reader):
        if target == "/health":
            return answer(200 if self.state == "ready" else 503, self.stated())
        if target == "/runshelf/grant":
            order = json.loads(body)
            rows = (order["from_revision"], order["target_version"])
            for (a, b), (fence, _) in self.grants.items():
                if a <= rows[1] and rows[0] <= b and fence > order["fence"]:
                    return answer(409)
            for key in [k for k in self.grants if k[0] >= rows[0] and k[1] <= rows[1]]:
                del self.grants[key]
            self.grants[rows] = (order["fence"], time.monotonic() + order["hold_ms"] / 1000)
            self.record(self.name, f"takes {rows} fence {order['fence']} {order['hold_ms']} ms")
            return answer(200)
        if target == "/runshelf/release":
            order = json.loads(body)
            for (a, b) in [k for k in self.grants
                           if k[0] <= order["target_version"] and order["from_revision"] <= k[1]]:
                self.grants[(a, b)] = (order["fence"], 0)
            return answer(200, [("Handover", f"{random.getrandbits(64):016x}")])
        return await self.run(method, target, headers, body, reader)

    async def run(self, method, target, headers, body, reader):
        attempt = headers.get("attempt-id")
        echo = [("Attempt-Id", attempt)] + self.stated()
        if attempt is None:
            return answer(400, [("Not-Executed", "1")] + self.stated())
        if headers.get("expect-instance", self.id) != self.id:
            return answer(421, [("Attempt-Id", attempt), ("Instance-Id", self.id)])
        if self.sharded and not self.holds(int(headers["shard-key"])):
            return answer(421, echo + [("Not-Executed", "1")])
        if self.waiting >= 4 * self.slots:
            return answer(503, echo + [("Not-Executed", "1")])
        self.waiting += 1
        async with self.free:
            self.waiting -= 1
            self.running += 1
            self.runs.append((now(), attempt, method, target))
            self.record(self.name, f"runs {attempt} {method} {target}")
            try:
                await asyncio.sleep(self.work(headers))
            finally:
                self.running -= 1
        return answer(200, echo + [("Server-Stamp", f"{self.id}.{attempt}")], b"body of " +
                      attempt.encode())

    def work(self, headers):
        return self.work_s


def region_of(zone):
    return {"ktm": "ktm", "hall": "port-louis", "perth": "perth"}[zone.split("-")[0]]


class Node:
    """A sidecar process, started with the command of the deploy file."""

    def __init__(self, rig, index, service, zone, memory_mb=260, link_mbps=1000):
        self.rig, self.zone, self.service = rig, zone, service
        self.name = f"sidecar-{zone}-{index}"
        self.ip = rig.ip(index)
        self.worker_address = f"{self.ip}:{rig.ports['worker']}"
        self.control_plane = f"{self.ip}:{rig.ports['control']}"
        self.memory_mb, self.link_mbps = memory_mb, link_mbps
        self.settings = os.path.join(rig.folder, f"{self.name}.toml")
        self.first = True
        self.process = None

    def write_settings(self):
        p, ip = self.rig.ports, self.ip
        text = f'''node_name = "{self.name}"
role = "sidecar"
machine_class = "sidecar"
serves = ["sidecar","control_plane"]
ip_address = "{ip}"
zone = "{self.zone}"
region = "{region_of(self.zone)}"
internal_port_range = [{p["peer"]},{p["peer"] + 15}]
seed_nodes = []
first_start = {"true" if self.first else "false"}
counts_toward_tolerance = false
discovery = "static"
entry = "static"
heartbeat_interval_ms = 1300
contracts = ["base","drain","config","cost","retry","recover","own","platform"]
bounds = {json.dumps(self.rig.bounds)}
grants = "invocation"
application_address = "{self.worker_address}"
service = "{self.service}"
[zones]
{self.rig.zone_table()}
[listen_addresses]
inbound = "{ip}:{p["inbound"]}"
outbound = "{ip}:{p["outbound"]}"
readiness = "{ip}:{p["readiness"]}"
control_plane = "{self.control_plane}"
[limits]
cpu_share = 0.2
cpu_cores = 1
memory_mb = {self.memory_mb}
file_descriptors = 4100
link_mbps = {self.link_mbps:.1f}
disk_mb = 0
[fault_tolerance]
machines = 1
zones = 0
regions = 0
[platform]
address = "{self.rig.store.address}"
form = "kv"
writes_per_s = 400
reads_per_s = 2000
history_retention_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
'''
        with open(self.settings, "w") as file:
            file.write(text)

    def start(self):
        self.write_settings()
        log = open(os.path.join(self.rig.folder, f"{self.name}.log"), "ab")
        environment = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        environment[SETTINGS] = self.settings
        self.process = subprocess.Popen(
            [PROGRAM, "--metrics-port", str(self.rig.ports["metrics"])], cwd=ROOT,
            env=environment, stdout=log, stderr=log, stdin=subprocess.DEVNULL)
        self.first = False
        self.rig.record(self.name, f"started, pid {self.process.pid}")

    def signal(self, number):
        self.process.send_signal(number)
        self.rig.record(self.name, f"signal {signal.Signals(number).name}")

    def memory_used_mb(self):
        """Memory of the process alone: neither its program file nor what the system holds for it."""
        try:
            with open(f"/proc/{self.process.pid}/status") as file:
                for line in file:
                    if line.startswith("RssAnon"):
                        return int(line.split()[1]) / 1024
        except OSError:
            pass
        return 0.0

    async def ready(self):
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(self.ip, self.rig.ports["readiness"]), 1)
            writer.write(b"GET /runshelf/readiness HTTP/1.1\r\nHost: x\r\n\r\n")
            first, _, _ = await asyncio.wait_for(read_message(reader), 1)
            writer.close()
            return " 200 " in first
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False


DEFAULT_BOUNDS = [
    "seed_lag_s=3", "reuse_after_s=2", "contact_window_ms=3000", "ack_timeout_ms=4000",
    "catch_up_s=4", "drain_timeout_ms=2000", "grace_period_s=6", "loss_slack_ms=200",
    "config_apply_ms=2000", "rollback_slack_ms=250", "max_extension_ms=5000",
    "retry_budget_ratio=0.2", "budget_window_s=10", "retry_budget_extra=58", "recovery_s=15",
    "max_hold_ms=10000", "thaw_slack_ms=300"]


class Rig:
    def __init__(self, folder):
        self.record = Record(folder)
        self.temporary = tempfile.TemporaryDirectory(prefix="runshelf-review-")
        self.folder = self.temporary.name
        self.bounds = list(DEFAULT_BOUNDS)
        self.second = 60 + os.getpid() % 150
        self.third = random.randrange(1, 250)
        self.ports = self.free_ports()
        self.store = Store(self.ip(200), self.ports["store"], self.record)
        self.nodes = []
        self.workers = []
        self.version = 0

    def ip(self, index):
        return f"127.{self.second}.{self.third}.{index}"

    def zone_table(self):
        zones = sorted({node.zone for node in self.nodes})
        return "\n".join(f'{zone} = "{region_of(zone)}"' for zone in zones)

    def free_ports(self):
        """The addresses are this run's own, so that any port above the system's is free on them."""
        names = ["inbound", "outbound", "readiness", "control", "worker", "metrics", "store",
                 "proxy"]
        base = 20000 + random.randrange(0, 8000)
        ports = {name: base + i for i, name in enumerate(names)}
        ports["peer"] = base + 100
        return ports

    def add(self, service, zone, **worker):
        limits = {name: worker.pop(name) for name in ("memory_mb", "link_mbps") if name in worker}
        node = Node(self, len(self.nodes) + 1, service, zone, **limits)
        self.nodes.append(node)
        self.workers.append(Worker(f"worker-{len(self.nodes)}", service, node.ip,
                                   self.ports["worker"], node.control_plane, zone, self.record,
                                   **worker))
        return node, self.workers[-1]

    def configure(self, routes, services, limits=None):
        self.version += random.randrange(1, 4)
        body = {
            "version": f"r{self.version}",
            "routes": {"columns": ["name", "host", "path_prefix", "kind", "timeout_ms",
                                   "target_latency_ms", "priority", "service", "max_attempts",
                                   "weighted_services"], "rows": routes},
            "services": {"columns": ["name", "health_check_path", "max_connections", "protocol",
                                     "tls", "sharded", "warmup_s", "grants"], "rows": services},
            "limits": limits or {"max_header_bytes": 16384, "max_body_bytes": 67108864,
                                 "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}
        self.store.put("op/config", json.dumps(body).encode())

    async def start_nodes(self, first):
        for worker in self.workers[first:]:
            await worker.start()
        for node in self.nodes[first:]:
            node.start()
        for _ in range(150):
            if all([await node.ready() for node in self.nodes[first:]]):
                return
            await asyncio.sleep(0.1)
        raise CannotRun("the sidecars did not get ready in 15 s")

    async def start(self):
        if not os.path.exists(PROGRAM):
            raise CannotRun("target/bin/runshelf has not been built")
        await self.store.start()
        await self.start_nodes(0)
        await asyncio.sleep(3)

    def end(self):
        for node in self.nodes:
            if node.process is not None and node.process.poll() is None:
                node.process.send_signal(signal.SIGCONT)
                node.process.kill()
        for node in self.nodes:
            if node.process is not None:
                node.process.wait()
        self.temporary.cleanup()

    async def request(self, node, method, host, path, deadline_ms, body=b"", headers=(),
                      attempt=None, timeout=None):
        """One client attempt on a new connection. Returns (status or None, headers, body, id)."""
        attempt = attempt or f"{random.getrandbits(64):016x}"
        lines = [("Host", host), ("Attempt-Id", attempt), ("Deadline-Ms", deadline_ms)]
        lines += list(headers)
        self.record("client", f"sends {attempt} {method} {path} to {node.name}, {len(body)} bytes")
        writer = None
        try:
            async with asyncio.timeout(timeout or deadline_ms / 1000 + 1):
                reader, writer = await asyncio.open_connection(node.ip, self.ports["outbound"])
                writer.write(message(f"{method} {path} HTTP/1.1", lines, body))
                first, found, data = await read_message(reader)
            status = int(first.split(" ")[1])
        except (OSError, asyncio.IncompleteReadError) as error:
            self.record("client", f"{attempt}: connection ended without an answer ({error!r})")
            return None, {}, b"", attempt
        except TimeoutError:
            self.record("client", f"{attempt}: no answer in time")
            return None, {}, b"", attempt
        finally:
            if writer is not None:
                writer.close()
        self.record("client", f"{attempt}: {status}")
        return status, found, data, attempt


def run(main, folder):
    rig = Rig(folder)

    async def bounded():
        async with asyncio.timeout(115):
            return await main(rig)

    def stopped(*_):
        raise SystemExit(2)

    signal.signal(signal.SIGTERM, stopped)
    code = 2
    loop = asyncio.new_event_loop()
    loop.set_exception_handler(lambda *_: None)
    try:
        code = loop.run_until_complete(bounded())
    except CannotRun as error:
        print(f"cannot run: {error}")
    except TimeoutError:
        print("cannot run: it did not end in time")
    finally:
        rig.end()
        sys.stdout.flush()
        # Pending tasks of the stand-ins are not waited for.
        os._exit(code)
