"""Stand-ins for the scripts of this review: the platform's store, workers and clients, and a fleet of sidecars.

Everything listens on loopback addresses. The sidecars are the project's own program, started with the command of
deploy/system.toml as separate processes. Workers and store follow the users' PROTOCOL page; where it is silent they
behave like sound ones.
"""
import asyncio
import base64
import collections
import json
import os
import random
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from urllib.parse import parse_qs, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
MAX_ENTRIES = 32  # Of a transaction.


def now():
    return time.monotonic()


class Record:
    """What was sent, answered and run, with the seconds since the start of the script."""

    def __init__(self, path):
        self.file = open(path, "w", buffering=1)
        self.start = now()

    def write(self, text):
        self.file.write(f"{now() - self.start:8.3f} {text}\n")

    def say(self, text):
        self.write(text)
        print(text, flush=True)


# --- HTTP ---------------------------------------------------------------------------------------------------------


class Message:
    def __init__(self, first, headers, body):
        self.first = first
        self.headers = headers  # Names in lower case.
        self.body = body

    def get(self, name, default=None):
        return self.headers.get(name.lower(), default)


async def read_head(reader):
    raw = await reader.readuntil(b"\r\n\r\n")
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_message(reader, answer=False):
    first, headers = await read_head(reader)
    while answer and first.split(" ")[1].startswith("1"):
        first, headers = await read_head(reader)
    if headers.get("transfer-encoding", "").lower() == "chunked":
        parts = []
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            if size == 0:
                while (await reader.readline()) not in (b"\r\n", b""):
                    pass
                break
            parts.append(await reader.readexactly(size))
            await reader.readexactly(2)
        body = b"".join(parts)
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    elif answer:
        body = await reader.read()
    else:
        body = b""
    return Message(first, headers, body)


REASONS = {200: "OK", 400: "Bad Request", 404: "Not Found", 409: "Conflict", 410: "Gone", 412: "Precondition Failed",
           421: "Misdirected Request", 429: "Too Many Requests", 500: "Internal Server Error",
           503: "Service Unavailable", 504: "Gateway Timeout"}


def answer_bytes(status, headers=(), body=b""):
    head = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"]
    head += [f"{name}: {value}" for name, value in headers]
    head.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(head) + "\r\n\r\n").encode("latin-1") + body


def json_answer(status, value, headers=()):
    return answer_bytes(status, [("Content-Type", "application/json"), *headers], json.dumps(value).encode())


async def call(address, method, target, headers=(), body=b"", timeout=2.0):
    """One request on a connection of its own. Returns the answer, or None."""
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(*address)
            lines = [f"{method} {target} HTTP/1.1", *(f"{name}: {value}" for name, value in headers)]
            if body or method != "GET":
                lines.append(f"Content-Length: {len(body)}")
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body)
            return await read_message(reader, answer=True)
    except (OSError, EOFError, ValueError, IndexError, TimeoutError, asyncio.IncompleteReadError,
            asyncio.LimitOverrunError):
        return None
    finally:
        if writer is not None:
            writer.close()


def status_of(answer):
    return int(answer.first.split(" ")[1])


class Server:
    """Accepts connections; `handle` is a coroutine of (message, connection) that returns bytes, or None to close."""

    def __init__(self, address, handle):
        self.address = address
        self.handle = handle
        self.server = None
        self.writers = set()
        self.tasks = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, *self.address, reuse_address=True)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        self.tasks.add(asyncio.current_task())
        try:
            while True:
                message = await read_message(reader)
                # A closed connection ends the work on its request.
                work = asyncio.ensure_future(self.handle(message, (reader, writer)))
                while not work.done():
                    await asyncio.wait([work], timeout=0.05)
                    if reader.at_eof() or writer.is_closing():
                        work.cancel()
                        return
                data = work.result()
                if data is None:
                    return
                writer.write(data)
                await writer.drain()
        except (OSError, EOFError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, asyncio.CancelledError):
            pass
        finally:
            self.tasks.discard(asyncio.current_task())
            self.writers.discard(writer)
            writer.close()

    def stop(self, reset=True):
        """Ends as the process of the server would: all connections close."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for task in list(self.tasks):
            task.cancel()
        for writer in list(self.writers):
            if reset:
                writer.transport.abort()
            else:
                writer.close()


# --- The platform's store -----------------------------------------------------------------------------------------


class Store:
    def __init__(self, address, record, latency=0.004):
        self.record = record
        self.latency = latency
        self.items = {}  # key -> [value, revision, made, lease]
        self.revision = 100
        self.history = []
        self.leases = {}  # id -> [ttl_s, ends]
        self.next_lease = 7000
        self.changed = asyncio.Event()
        self.refused_size = 0
        self.watching = {}  # Number of watches that wait, by the machine that sent them.
        self.down = False
        self.server = Server(address, self.handle)

    async def start(self):
        await self.server.start()
        asyncio.ensure_future(self.expire())

    async def expire(self):
        while True:
            await asyncio.sleep(0.02)
            for lease in [lease for lease, (_, ends) in self.leases.items() if ends <= now()]:
                self.end_lease(lease)

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [key for key, item in self.items.items() if item[3] == lease]:
            self.remove(key)

    def bump(self):
        self.revision += 1
        return self.revision

    def put(self, key, value, lease=0):
        revision = self.bump()
        made = self.items[key][2] if key in self.items else revision
        self.items[key] = [value, revision, made, lease]
        self.history.append((revision, key, self.describe(key)))
        self.wake()

    def remove(self, key):
        if key in self.items:
            del self.items[key]
            revision = self.bump()
            self.history.append((revision, key, {"private_key": key, "revision": revision, "gone": True}))
            self.wake()

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def describe(self, key):
        value, revision, made, lease = self.items[key]
        return {"private_key": key, "value": base64.b64encode(value).decode(), "revision": revision, "made": made,
                "lease": lease}

    async def handle(self, message, connection):
        method, target, _ = message.first.split(" ")
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query, keep_blank_values=True).items()}
        await asyncio.sleep(self.latency)
        if self.down:
            return answer_bytes(503)
        path = parts.path
        if path == "/runshelf/kv-key":
            key = query["private_key"]
            if key not in self.items:
                return json_answer(404, {"at": self.revision})
            return json_answer(200, {**self.describe(key), "at": self.revision})
        if path == "/runshelf/kv-range":
            keys = sorted(k for k in self.items if k.startswith(query["path_prefix"]) and k > query.get("after", ""))
            page = keys[:500]
            return json_answer(200, {"items": [self.describe(k) for k in page], "more": len(keys) > len(page),
                                     "at": self.revision})
        if path == "/runshelf/kv-watch":
            caller = connection[1].get_extra_info("peername")[0]
            self.watching[caller] = self.watching.get(caller, 0) + 1
            try:
                return await self.watch(query)
            finally:
                self.watching[caller] -= 1
        if path == "/runshelf/kv-txn":
            return self.transact(json.loads(message.body))
        if path == "/runshelf/kv-lease":
            ttl = json.loads(message.body)["ttl_ms"]
            self.next_lease += 1
            self.leases[self.next_lease] = [ttl / 1000, now() + ttl / 1000]
            return json_answer(200, {"lease": self.next_lease, "ttl_ms": ttl})
        if path.startswith("/runshelf/kv-keep/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return json_answer(404, {})
            self.leases[lease][1] = now() + self.leases[lease][0]
            return json_answer(200, {"ttl_ms": int(self.leases[lease][0] * 1000)})
        if path.startswith("/runshelf/kv-lease-end/"):
            self.end_lease(int(path.rsplit("/", 1)[1]))
            return json_answer(200, {})
        return answer_bytes(404)

    async def watch(self, query):
        after = int(query["after"])
        prefix = query["path_prefix"]
        ends = now() + int(query["wait_timeout_ms"]) / 1000
        while True:
            events = [event for revision, key, event in self.history if revision > after and key.startswith(prefix)]
            if events or now() >= ends:
                return json_answer(200, {"events": events, "at": self.revision})
            try:
                await asyncio.wait_for(self.changed.wait(), max(0.001, ends - now()))
            except TimeoutError:
                pass

    def transact(self, body):
        conditions = body.get("expected_revision", [])
        puts = body.get("put", [])
        removals = body.get("remove", [])
        if len(conditions) + len(puts) + len(removals) > MAX_ENTRIES:
            self.refused_size += 1
            self.record.write(f"store refuses a transaction of {len(conditions)} conditions, {len(puts)} puts and "
                              f"{len(removals)} removals: more than {MAX_ENTRIES} entries")
            return json_answer(400, {"reason": "too many entries"})
        for row in conditions:
            key = row["private_key"]
            present = self.items[key][1] if key in self.items else 0
            if present != row["revision"]:
                found = [self.describe(r["private_key"]) if r["private_key"] in self.items
                         else {"private_key": r["private_key"], "revision": 0} for r in conditions]
                return json_answer(412, {"items": found})
        if any(row.get("lease", 0) and row["lease"] not in self.leases for row in puts):
            return json_answer(404, {})
        for row in puts:
            self.put(row["private_key"], base64.b64decode(row["value"]), row.get("lease", 0))
        for key in removals:
            self.remove(key)
        return json_answer(200, {"revision": self.revision})


class StoreLink:
    """The way of one machine to the store. While it is cut, nothing passes and new connections hang."""

    def __init__(self, address, store_address, source_ip):
        self.address = address
        self.store_address = store_address
        self.source_ip = source_ip  # By which the store knows the machine.
        self.open = asyncio.Event()
        self.open.set()
        self.pairs = set()
        self.fillers = []
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.setblocking(False)
        self.listener.bind(address)
        self.listener.listen(8)
        self.task = asyncio.ensure_future(self.accept())

    async def accept(self):
        while True:
            await self.open.wait()
            try:
                client, _ = self.listener.accept()
            except BlockingIOError:
                await asyncio.sleep(0.002)
                continue
            client.setblocking(False)
            asyncio.ensure_future(self.join(client))

    async def join(self, client):
        try:
            reader, writer = await asyncio.open_connection(sock=client)
            to_store = await asyncio.open_connection(*self.store_address, local_addr=(self.source_ip, 0))
        except OSError:
            client.close()
            return
        pair = (writer, to_store[1])
        self.pairs.add(pair)
        await asyncio.gather(self.copy(reader, to_store[1]), self.copy(to_store[0], writer))
        self.pairs.discard(pair)

    async def copy(self, reader, writer):
        try:
            while data := await reader.read(65536):
                await self.open.wait()
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        finally:
            await self.open.wait()
            writer.close()

    async def cut(self):
        """Bytes under way are held up. The queue of new connections is filled, so that further ones hang."""
        self.open.clear()
        await asyncio.sleep(0.01)
        for _ in range(24):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(self.address)
            self.fillers.append(filler)

    def heal(self):
        for filler in self.fillers:
            filler.close()
        self.fillers = []
        self.open.set()

    def stop(self):
        self.task.cancel()
        self.heal()
        self.listener.close()
        for pair in list(self.pairs):
            for writer in pair:
                writer.close()


# --- Workers ------------------------------------------------------------------------------------------------------


class Worker:
    """A sound worker. Hooks change what it does with a request: see `on_request`."""

    count = 0

    def __init__(self, record, address, service, control_plane, zone, sharded=False, slots=18, interval=1.0):
        Worker.count += 1
        self.id = f"i-{Worker.count:04x}{random.randrange(1 << 24):06x}"
        self.born = int(time.time() * 1000)
        self.record = record
        self.address = address
        self.service = service
        self.control_plane = control_plane
        self.zone = zone
        self.sharded = sharded
        self.slots = slots
        self.interval = interval
        self.state = "ready"
        self.sequence = 0
        self.running = 0
        self.work_s = 0.02
        self.body = b"x" * 200
        self.grants = []  # [first, last, fence, ends]
        self.seen = []  # [first, last, fence]
        self.server = Server(address, self.handle)
        self.beat_task = None
        self.alive = False
        self.ran = []
        self.callers = {}  # What the requests that it ran named as Caller-Service.
        self.on_request = None

    async def start(self):
        await self.server.start()
        self.alive = True
        self.beat_task = asyncio.ensure_future(self.beat())

    def stop(self):
        self.alive = False
        if self.beat_task is not None:
            self.beat_task.cancel()
        self.server.stop()

    async def beat(self):
        while self.alive:
            self.sequence += 1
            body = {"service": self.service, "address": "%s:%d" % self.address, "zone": self.zone, "version": "v1",
                    "slots": self.slots, "state": self.state, "cold_remaining_ms": 0, "call_sequence": self.sequence,
                    "born": self.born}
            await call(self.control_plane, "POST", f"/runshelf/rpc?call=instances.heartbeat&of={self.id}",
                       [("Host", "x"), ("Content-Type", "application/json")], json.dumps(body).encode(), timeout=1.0)
            await asyncio.sleep(self.interval)

    def holds(self, key):
        return any(first <= key <= last and ends > now() for first, last, _, ends in self.grants)

    def load(self):
        return ("Server-Load", f"{self.running},0,{self.slots}")

    async def handle(self, message, connection):
        method, target, _ = message.first.split(" ")
        if target == "/health":
            return answer_bytes(200, [("Instance-Id", self.id), self.load()])
        if target == "/runshelf/grant" and method == "POST":
            return self.grant(json.loads(message.body))
        if target == "/runshelf/release" and method == "POST":
            return self.release(json.loads(message.body))
        return await self.run(method, target, message, connection)

    def grant(self, body):
        first, last, fence = body["from_revision"], body["target_version"], body["fence"]
        if any(a <= last and first <= b and f > fence for a, b, f in self.seen):
            return answer_bytes(409)
        self.seen = [row for row in self.seen if row[2] > fence or not (first <= row[0] and row[1] <= last)]
        self.seen.append((first, last, fence))
        ends = now() + body["hold_ms"] / 1000
        self.cut(first, last)
        self.grants.append((first, last, fence, ends))
        return answer_bytes(200)

    def release(self, body):
        first, last = body["from_revision"], body["target_version"]
        self.seen.append((first, last, body["fence"]))
        self.cut(first, last)
        return answer_bytes(200, [("Handover", f"{random.randrange(1 << 62):016x}")])

    def cut(self, first, last):
        kept = []
        for a, b, fence, ends in self.grants:
            if b < first or a > last:
                kept.append((a, b, fence, ends))
                continue
            if a < first:
                kept.append((a, first - 1, fence, ends))
            if b > last:
                kept.append((last + 1, b, fence, ends))
        self.grants = kept

    async def run(self, method, target, message, connection):
        attempt = message.get("attempt-id")
        if attempt is None:
            return answer_bytes(400, [("Not-Executed", "1")])
        echo = [("Attempt-Id", attempt), self.load()]
        if message.get("expect-instance", self.id) != self.id:
            return answer_bytes(421, [("Instance-Id", self.id), ("Not-Executed", "1"), *echo])
        if self.sharded and not self.holds(int(message.get("shard-key", "-1"))):
            return answer_bytes(421, [("Instance-Id", self.id), ("Not-Executed", "1"), *echo])
        if self.running >= 2 * self.slots:
            return answer_bytes(503, [("Not-Executed", "1"), *echo])
        self.running += 1
        try:
            self.ran.append(attempt)
            self.callers[attempt] = message.get("caller-service")
            self.record.write(f"worker {self.id} begins {attempt} {method} {target} for {self.callers[attempt]}")
            if self.on_request is not None:
                return await self.on_request(self, message, connection)
            await asyncio.sleep(self.work_s)
            return answer_bytes(200, [*echo, ("Server-Stamp", f"{self.id}.{attempt}")], self.body)
        finally:
            self.running -= 1


# --- The fleet ----------------------------------------------------------------------------------------------------


def free_net():
    """A loopback network 127.A.B.* of which no address is in use by another run."""
    return f"127.{random.randrange(10, 250)}.{random.randrange(1, 250)}"


class Machine:
    def __init__(self, fleet, name, ip, zone, service, first_start):
        self.fleet = fleet
        self.name = name
        self.ip = ip
        self.zone = zone
        self.service = service
        self.first_start = first_start
        self.inbound, self.worker_address = (ip, 8300), (ip, 8301)
        self.readiness, self.outbound, self.control_plane = (ip, 8302), (ip, 8304), (ip, 8306)
        self.link = None  # Its way to the store; None: direct.
        self.process = None
        self.worker = None

    def settings(self):
        text = lambda address: "%s:%d" % address
        return f'''node_name = "{self.name}"
role = "sidecar"
machine_class = "sidecar"
serves = ["sidecar","control_plane"]
ip_address = "{self.ip}"
zone = "{self.zone}"
region = "r"
internal_port_range = [7620,7635]
seed_nodes = []
first_start = {"true" if self.first_start else "false"}
heartbeat_interval_ms = {int(self.fleet.interval * 1000)}
bounds = {json.dumps(self.fleet.bounds)}
grants = "invocation"
application_address = "{text(self.worker_address)}"
service = "{self.service}"
[zones]
{self.zone} = "r"
[listen_addresses]
inbound = "{text(self.inbound)}"
outbound = "{text(self.outbound)}"
readiness = "{text(self.readiness)}"
control_plane = "{text(self.control_plane)}"
[limits]
cpu_share = 0.2
cpu_cores = 1
memory_mb = 260
file_descriptors = 4100
link_mbps = 1000.0
[platform]
address = "{text(self.link.address if self.link else self.fleet.store_address)}"
form = "kv"
writes_per_s = 1200
reads_per_s = 6000
history_retention_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
'''

    def write_settings(self):
        path = os.path.join(self.fleet.folder, self.name + ".toml")
        with open(path, "w") as file:
            file.write(self.settings())
        return path

    def start_process(self):
        path = self.write_settings()
        log = open(os.path.join(self.fleet.folder, self.name + ".log"), "ab")
        environment = {"PATH": os.environ.get("PATH", ""), "HOME": os.environ.get("HOME", "/"),
                       "LANG": os.environ.get("LANG", "C"), "RUNSHELF_NODE_FILE": path}
        self.process = subprocess.Popen(self.fleet.command, cwd=ROOT, env=environment, stdout=log,
                                        stderr=subprocess.STDOUT, stdin=subprocess.DEVNULL)
        log.close()
        self.first_start = False

    async def start_worker(self):
        self.worker = Worker(self.fleet.record, self.worker_address, self.service, self.control_plane, self.zone,
                             sharded=self.service in self.fleet.sharded, interval=self.fleet.interval,
                             slots=self.fleet.slots)
        self.fleet.all_workers.append(self.worker)
        if self.fleet.on_worker is not None:
            self.fleet.on_worker(self.worker)
        await self.worker.start()

    def add_link(self):
        self.link = StoreLink((self.ip, 8400), self.fleet.store_address, self.ip)

    def kill(self):
        self.process.send_signal(signal.SIGKILL)
        self.process.wait()

    def ended(self):
        """The exit status of the process if it has ended by itself, else None."""
        return self.process.poll()


class Fleet:
    def __init__(self, record, sharded=(), interval=1.0, slots=18, grace_s=6, drain_ms=2000):
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            self.command = shlex.split(tomllib.load(file)["roles"]["sidecar"]["run"])
        self.record = record
        self.sharded = set(sharded)
        self.interval = interval
        self.slots = slots
        self.bounds = ["seed_lag_s=3", "reuse_after_s=2", "contact_window_ms=3000", "ack_timeout_ms=4000",
                       "catch_up_s=4", f"drain_timeout_ms={drain_ms}", f"grace_period_s={grace_s}",
                       "loss_slack_ms=200", "config_apply_ms=2000", "rollback_slack_ms=250",
                       "max_extension_ms=5000", "retry_budget_ratio=0.2", "budget_window_s=10",
                       "retry_budget_extra=58", "recovery_s=15", "max_hold_ms=10000", "thaw_slack_ms=300"]
        self.net = free_net()
        self.store_address = (f"{self.net}.1", 8309)
        self.store = Store(self.store_address, record)
        self.folder = tempfile.mkdtemp(prefix="runshelf-review-")
        self.machines = []
        self.all_workers = []
        self.on_worker = None
        self.next_host = 10

    def add(self, service, zone, first_start=True, name=None):
        self.next_host += 1
        name = name or f"node-{zone}-{self.next_host:03d}"
        machine = Machine(self, name, f"{self.net}.{self.next_host}", zone, service, first_start)
        self.machines.append(machine)
        return machine

    def configure(self, version, routes, services):
        columns = ["name", "host", "path_prefix", "kind", "timeout_ms", "target_latency_ms", "priority", "service",
                   "max_attempts"]
        value = {"version": f"r{version}",
                 "routes": {"columns": columns, "rows": [[route.get(c) for c in columns] for route in routes]},
                 "services": {"columns": ["name", "health_check_path", "max_connections", "protocol", "tls", "sharded",
                                          "warmup_s", "grants"],
                              "rows": [[s, "/health", 410, "h1", False, True if s in self.sharded else None,
                                        3.0 if s in self.sharded else None,
                                        "invocation" if s in self.sharded else None] for s in services]},
                 "limits": {"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000,
                            "idle_timeout_ms": 15000}}
        self.store.put("op/config", json.dumps(value).encode())

    async def start(self):
        await self.store.start()
        for machine in self.machines:
            machine.start_process()
        await asyncio.gather(*(machine.start_worker() for machine in self.machines))

    async def wait_ready(self, seconds=15):
        ends = now() + seconds
        while now() < ends:
            answers = await asyncio.gather(*(call(m.readiness, "GET", "/runshelf/readiness", [("Host", "x")],
                                                  timeout=1) for m in self.machines))
            if all(a is not None and status_of(a) == 200 for a in answers):
                return True
            await asyncio.sleep(0.3)
        return False

    def end(self):
        for worker in self.all_workers:
            worker.stop()
        self.store.server.stop()
        for machine in self.machines:
            if machine.link is not None:
                machine.link.stop()
            if machine.process is not None and machine.process.poll() is None:
                machine.kill()


attempts = 0


def attempt_id():
    global attempts
    attempts += 1
    return f"{attempts:08x}{random.randrange(1 << 32):08x}"


async def run_script(main, folder, **options):
    """Runs `main(fleet, record, trouble)`, which returns True if the rule held. Exits with 0, 1 or 2."""
    record = Record(os.path.join(folder, "record.txt"))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    if not os.path.exists(os.path.join(ROOT, "target/bin/runshelf")):
        record.say("target/bin/runshelf is not built")
        return 2
    fleet = Fleet(record, **options)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, asyncio.current_task().cancel)
    held = None
    try:
        async with asyncio.timeout(115):
            held = await main(fleet, record, trouble)
    except (Exception, asyncio.CancelledError) as error:  # The case could not run.
        record.say(f"could not run: {type(error).__name__}: {error}")
    finally:
        fleet.end()
    if os.environ.get("KEEP"):
        print(fleet.folder)
    else:
        subprocess.run(["rm", "-rf", fleet.folder], check=False)
    record.say({True: "held", False: "BROKEN", None: "no verdict"}[held])
    return {True: 0, False: 1, None: 2}[held]


def run(main, file, **options):
    sys.exit(asyncio.run(run_script(main, os.path.dirname(os.path.abspath(file)), **options)))
