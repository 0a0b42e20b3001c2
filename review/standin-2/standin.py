"""Stand-ins for the platform and its executors, and helpers for the scripts of review/6 to review/10.

Only the standard library is used. Everything listens on 127.0.0.1 on free ports.

    standin.py platform --port N --record FILE     store and instance service
    standin.py executor --id ID ...                one executor; it registers itself in the store

A script imports this file and uses Site.
"""

import argparse
import asyncio
import base64
import http.client
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import traceback
from urllib.parse import parse_qs, unquote, urlsplit

HEARTBEAT_MS = 1500
MAX_HOLD_MS = 6000
GANG_WAIT_MS = 3000
ROW_BYTES = 65536
CALL_BYTES = 1 << 20
CALL_ENTRIES = 100
TXN_MS = 4


class Record:
    """Appends one JSON line an event; several processes share the file."""

    def __init__(self, path):
        self.file = open(path, "a", buffering=1, encoding="utf-8") if path else None

    def add(self, event, **fields):
        if self.file:
            line = {"t": round(time.time(), 3), "event": event, **fields}
            self.file.write(json.dumps(line) + "\n")


# ---------------------------------------------------------------- HTTP server


async def serve_http(port, handler):
    """Serves HTTP/1.1 with `handler(method, path, query, headers, body)`."""

    async def serve(reader, writer):
        try:
            while True:
                line = await reader.readline()
                if not line:
                    break
                method, target, _ = line.decode().split(" ", 2)
                headers = {}
                while True:
                    line = (await reader.readline()).decode().strip()
                    if not line:
                        break
                    name, _, value = line.partition(":")
                    headers[name.strip().lower()] = value.strip()
                length = int(headers.get("content-length", "0"))
                body = await reader.readexactly(length) if length else b""
                url = urlsplit(target)
                query = {name: values[0] for name, values in parse_qs(url.query, True).items()}
                status, reply = await handler(method, unquote(url.path), query, headers, body)
                if status is None:
                    break
                data = json.dumps(reply).encode() if reply is not None else b""
                writer.write(
                    b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                    % (status, len(data))
                    + data
                )
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(serve, "127.0.0.1", port, backlog=512)


# ------------------------------------------------------------------- platform


class Platform:
    """Metadata store (PROTOCOL.md, "The platform's metadata store") and instance service."""

    def __init__(self, record):
        self.record = record
        self.rows = {}
        self.version = 0
        self.log = []
        self.changed = asyncio.Condition()
        self.beats = {}
        self.machines = {}
        self.gangs = {}
        self.started = time.monotonic()

    def now_ms(self):
        return int((time.monotonic() - self.started) * 1000)

    async def apply(self, writes, removals):
        self.version += 1
        for key, value in writes:
            self.rows[key] = (value, self.version)
            self.log.append((self.version, key, value))
        for key in removals:
            if self.rows.pop(key, None) is not None:
                self.log.append((self.version, key, None))
        async with self.changed:
            self.changed.notify_all()
        return self.version

    @staticmethod
    def row(key, value, version):
        table, part, name = key
        row = {"table": table, "part": part, "key": name, "ver": version}
        if value is None:
            row["deleted"] = True
        else:
            row["value"] = base64.b64encode(value).decode()
        return row

    async def transact(self, body):
        if len(body) > CALL_BYTES:
            return 400, {"error": "a call holds at most 1 MB"}
        call = json.loads(body)
        key_of = lambda entry: (entry["table"], entry.get("part", ""), entry["key"])
        expected = [(key_of(entry), entry["ver"]) for entry in call.get("expected_rev", [])]
        writes = [(key_of(e), base64.b64decode(e["value"])) for e in call.get("set_keys", [])]
        removals = [key_of(entry) for entry in call.get("remove", [])]
        if len(expected) + len(writes) + len(removals) > CALL_ENTRIES:
            return 400, {"error": "a call holds at most 100 entries"}
        parts = {key[1] for key, _ in expected} | {key[1] for key, _ in writes}
        if len(parts | {key[1] for key in removals}) > 1:
            return 400, {"error": "all entries share a single part"}
        for key, value in writes:
            if key[0] in ("op", "servers"):
                return 403, {"error": "the system may not write here"}
            if len(value) > ROW_BYTES:
                self.record.add("row_too_large", table=key[0], key=key[2], bytes=len(value))
                return 400, {"error": f"a row holds at most {ROW_BYTES} bytes"}
        await asyncio.sleep(TXN_MS / 1000)
        if any(self.rows.get(key, (None, 0))[1] != ver for key, ver in expected):
            current = [self.row(k, *self.rows[k]) for k, _ in expected if k in self.rows]
            return 412, {"rows": current, "ver": self.version, "now_ms": self.now_ms()}
        version = await self.apply(writes, removals)
        return 200, {"ver": version, "now_ms": self.now_ms()}

    def read(self, query):
        table, part = query["table"], query.get("part", "")
        low, high = query.get("from", ""), query.get("to", "")
        limit = min(int(query.get("limit", 500)), 500)
        keys = [k for k in self.rows if k[0] == table and k[1] == part and k[2] >= low]
        keys = sorted((k for k in keys if not high or k[2] < high), key=lambda k: k[2].encode())
        rows = [self.row(k, *self.rows[k]) for k in keys[:limit]]
        more = len(keys) > limit
        return 200, {"rows": rows, "has_more": more, "ver": self.version, "now_ms": self.now_ms()}

    async def feed(self, query):
        table, after = query["table"], int(query["after"])
        deadline = time.monotonic() + min(int(query.get("wait_ms", 0)), 30000) / 1000
        while True:
            found = {}
            for version, key, value in reversed(self.log):
                if version <= after:
                    break
                if key[0] == table and key not in found:
                    found[key] = (value, version)
            left = deadline - time.monotonic()
            if found or left <= 0:
                rows = sorted(found.items(), key=lambda item: item[1][1])
                rows = [self.row(key, *entry) for key, entry in rows]
                return 200, {"rows": rows, "ver": self.version, "now_ms": self.now_ms()}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass

    def list_machines(self):
        machines = []
        for name, machine in self.machines.items():
            entry = {k: machine[k] for k in ("pool", "zone", "labels", "capacity")}
            up = machine["id"] in self.beats
            entry |= {"machine": name, "state": "up" if up else "down"}
            entry["id"] = machine["id"] if up else None
            machines.append(entry)
        return 200, {"machines": machines, "next_token": None}

    async def beat(self, body):
        entry = json.loads(body)
        key = ("servers", "", entry["id"])
        value = json.dumps(entry["row"]).encode()
        self.beats[entry["id"]] = time.monotonic()
        row = entry["row"]
        self.machines[row["machine"]] = {
            "pool": row["service"], "zone": row["zone"], "labels": row["labels"],
            "capacity": row["capacity"], "id": entry["id"],
        }
        await self.apply([(key, value)], [])
        return 200, {}

    async def expire(self):
        """Removes the entries of executors that were silent for three intervals."""
        while True:
            await asyncio.sleep(0.1)
            limit = time.monotonic() - 3 * HEARTBEAT_MS / 1000
            for name in [name for name, at in self.beats.items() if at < limit]:
                del self.beats[name]
                await self.apply([], [("servers", "", name)])

    def update_gang(self, body):
        """Tells a member whether all subtasks of its run are present, and whether one has ended.

        The members of one run carry the same number and the same checkpoint."""
        call = json.loads(body)
        name = f"{call['step']}/{call['run']}/{call['checkpoint']}"
        gang = self.gangs.setdefault(name, {"members": {}, "since": None, "is_broken": False})
        now = time.time()
        gang["members"][call["index"]] = now if not call.get("how") else 0
        is_done = call.get("how") == "done"
        seen = [at for at in gang["members"].values() if now - at < 0.4]
        if gang["since"] is None and len(seen) == call["size"]:
            gang["since"] = now
        elif gang["since"] is not None and len(seen) < call["size"] and not is_done:
            gang["is_broken"] = True
        return 200, {"since": gang["since"], "is_broken": gang["is_broken"]}

    async def handle(self, method, path, query, headers, body):
        if path == "/standin/gang":
            return self.update_gang(body)
        if path == "/api/rows-tx":
            return await self.transact(body)
        if path == "/api/rows-get":
            return self.read(query)
        if path == "/api/rows-feed":
            return await self.feed(query)
        if path == "/api/rows-parts":
            parts = sorted({key[1] for key in self.rows if key[0] == query["table"]})
            return 200, {"parts": parts}
        if path == "/api/machines":
            return self.list_machines()
        # Not part of the platform's interface: the operator and the executors use it.
        if path == "/standin/operator":
            entry = json.loads(body)
            key = ("op", "", entry["key"])
            version = await self.apply([(key, json.dumps(entry["value"]).encode())], [])
            return 200, {"ver": version}
        if path == "/standin/beat":
            return await self.beat(body)
        return 404, {"error": "no such call"}


async def run_platform(args):
    platform = Platform(Record(args.record))
    await serve_http(args.port, platform.handle)
    await platform.expire()


# ------------------------------------------------------------------- executor


class Executor:
    """Executor of PROTOCOL.md, "Running subtasks". The input of a subtask is JSON:
    {"work_ms": time that it takes, "saved_bytes": size of its checkpoints, "gang": its members}."""

    def __init__(self, args):
        self.args = args
        self.record = Record(args.record)
        self.born = int(time.time() * 1000)
        self.zero = time.monotonic()
        self.fence = 0
        self.lease = 0
        self.runs = {}
        self.ended = []
        self.count = 0
        self.highest = {}
        self.capacity = {"cpu": args.cpu, "mem_mb": args.mem_mb, "gpu": 0}
        self.changed = asyncio.Condition()
        self.fails = False

    def clock(self):
        return int((time.monotonic() - self.zero) * 1000) + 1000

    def extend(self, deadline):
        if deadline is not None:
            self.lease = max(self.lease, min(deadline, self.clock() + MAX_HOLD_MS))

    def saved(self, run):
        steps = int(run["done_ms"] // 500)
        return f"{steps:0{run['saved_bytes']}d}" if steps and run["saved_bytes"] else ""

    async def tell_gang(self, task, run, how=None):
        step, index = task.rsplit(".", 1)
        body = json.dumps({"step": step, "index": index, "run": run["attempt"], "how": how,
                           "size": run["gang"], "checkpoint": run["checkpoint"]})
        _, reply = await asyncio.to_thread(post, self.args.platform, "/standin/gang", body)
        return json.loads(reply)

    async def run_gang(self, task, run):
        """Follows the other members; the subtasks work from the moment when all are present."""
        present_since = time.monotonic()
        while self.runs.get(task) is run and not run["stop_at"]:
            try:
                reply = await self.tell_gang(task, run)
            except OSError:
                reply = {"since": run["gang_since"], "is_broken": False}
            if self.runs.get(task) is not run:
                return
            is_done = run["done_ms"] >= run["work_ms"]
            if reply["is_broken"] and not is_done:
                await self.end(task, "broken")
            elif reply["since"] is not None:
                run["gang_since"] = reply["since"]
            elif time.monotonic() - present_since > GANG_WAIT_MS / 1000:
                await self.end(task, "alone")
            await asyncio.sleep(0.05)

    async def end(self, task, how):
        run = self.runs.pop(task)
        if run["gang"]:
            asyncio.ensure_future(self.tell_gang(task, run, how))
        self.count += 1
        self.highest[task] = max(self.highest.get(task, 0), run["attempt"])
        self.ended.append([self.count, task, run["attempt"], how, self.saved(run)])
        self.record.add("ended", executor=self.args.id, task=task, run=run["attempt"], how=how)
        async with self.changed:
            self.changed.notify_all()

    async def work(self):
        last = time.monotonic()
        while True:
            await asyncio.sleep(0.01)
            now = time.monotonic()
            passed, last = (now - last) * 1000, now
            for task, run in list(self.runs.items()):
                if not run["gang"]:
                    run["done_ms"] += passed
                elif run["gang_since"]:
                    worked = (time.time() - run["gang_since"]) * 1000
                    run["done_ms"] = run["begun_ms"] + worked
                if self.clock() > self.lease:
                    await self.end(task, "lapsed")
                elif run["fails"]:
                    await self.end(task, "failed")
                elif run["stop_at"] and now >= run["stop_at"]:
                    await self.end(task, "stopped")
                elif not run["stop_at"] and run["done_ms"] >= run["work_ms"]:
                    await self.end(task, "done")

    async def start(self, call):
        self.extend(call["deadline_ms"])
        task, attempt = call["task"], call["attempt"]
        clock = {"clock_ms": self.clock()}
        run = self.runs.get(task)
        if run and run["attempt"] == attempt:
            return 200, clock
        if attempt <= self.highest.get(task, 0) or (run and run["attempt"] > attempt):
            return 409, {**clock, "reason": "old"}
        if call["deadline_ms"] <= self.clock():
            return 409, {**clock, "reason": "late"}
        if run or len(self.runs) >= self.args.max_runs:
            return 409, {**clock, "reason": "room"}
        spec = json.loads(call["spec"])
        steps = int(call.get("checkpoint") or 0)
        self.runs[task] = {
            "attempt": attempt, "work_ms": spec["work_ms"], "done_ms": steps * 500.0,
            "saved_bytes": spec.get("saved_bytes", 0), "stop_at": None,
            "fails": self.fails, "gang": spec.get("gang", 0), "gang_since": None,
            "begun_ms": steps * 500.0, "checkpoint": call.get("checkpoint") or "",
        }
        self.record.add("began", executor=self.args.id, task=task, run=attempt,
                        checkpoint=call.get("checkpoint"))
        if spec.get("gang"):
            asyncio.ensure_future(self.run_gang(task, self.runs[task]))
        return 200, clock

    async def stop(self, call):
        task, attempt = call["task"], call["attempt"]
        run = self.runs.get(task)
        if run and run["attempt"] == attempt:
            run["stop_at"] = run["stop_at"] or time.monotonic() + 0.05
        elif not run:
            self.highest[task] = max(self.highest.get(task, 0), attempt)
        return 200, {"clock_ms": self.clock()}

    async def hold(self, call):
        self.extend(call.get("deadline_ms"))
        self.ended = [row for row in self.ended if row[0] > call["ack_seq"]]
        left = time.monotonic() + min(call.get("wait_ms", 0), 2000) / 1000 - time.monotonic()
        if not self.ended and left > 0:
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        percent = lambda run: min(99, int(100 * run["done_ms"] / run["work_ms"]))
        running = [[t, r["attempt"], self.saved(r), percent(r)] for t, r in self.runs.items()]
        reply = {"clock_ms": self.clock(), "born": self.born, "running": running}
        return 200, {**reply, "finished": self.ended[:500]}

    async def handle(self, method, path, query, headers, body):
        if path == "/healthz":
            return 200, None
        if path == "/standin/mode":
            # Not part of an executor's interface: the script makes the executor fail what it starts.
            self.fails = json.loads(body)["fails"]
            return 200, {}
        if headers.get("x-expect-instance", self.args.id) != self.args.id:
            return 421, {"clock_ms": self.clock()}
        call = json.loads(body)
        fence = call.get("fence_token", 0)
        if fence < self.fence:
            return 409, {"clock_ms": self.clock(), "reason": "fence"}
        self.fence = fence
        if path == "/api/run-start":
            return await self.start(call)
        if path == "/api/run-stop":
            return await self.stop(call)
        if path == "/api/hold":
            return await self.hold(call)
        return 404, None

    async def register(self):
        number = 0
        while True:
            number += 1
            row = {
                "service": self.args.service, "addr": f"127.0.0.1:{self.args.public_port or self.args.port}",
                "zone": self.args.zone, "version": "v1", "slots": 8, "state": "ready",
                "cold_left_ms": 0, "capacity": self.capacity,
                "labels": self.args.labels.split(","), "clock_ms": self.clock(), "born": self.born,
                "machine": self.args.machine, "seq_no": number,
            }
            body = json.dumps({"id": self.args.id, "row": row})
            try:
                await asyncio.to_thread(post, self.args.platform, "/standin/beat", body)
            except OSError:
                pass
            await asyncio.sleep(HEARTBEAT_MS / 1000)


async def run_executor(args):
    executor = Executor(args)
    await serve_http(args.port, executor.handle)
    executor.record.add("executor_up", executor=args.id, machine=args.machine, pid=os.getpid())
    await asyncio.gather(executor.work(), executor.register())


# ---------------------------------------------------------------------- proxy


class LateProxy:
    """Forwards calls to one executor. It withholds the first start of each armed subtask: the caller
    gets no reply, and the call is delivered later, on another connection."""

    def __init__(self, args):
        self.args = args
        self.record = Record(args.record)
        self.armed = False
        self.withheld = set()

    async def forward(self, method, path, headers, body):
        reader, writer = await asyncio.open_connection("127.0.0.1", self.args.backend)
        try:
            kept = {k: v for k, v in headers.items() if k not in ("connection", "content-length")}
            head = "".join(f"{name}: {value}\r\n" for name, value in kept.items())
            head = f"{method} {path} HTTP/1.1\r\n{head}Content-Length: {len(body)}\r\n"
            writer.write(f"{head}Connection: close\r\n\r\n".encode() + body)
            await writer.drain()
            status = int((await reader.readline()).split()[1])
            length = 0
            while line := (await reader.readline()).strip():
                if line.lower().startswith(b"content-length:"):
                    length = int(line.split(b":")[1])
            reply = await reader.readexactly(length)
            return status, json.loads(reply) if reply else None
        finally:
            writer.close()

    async def deliver_late(self, task, method, path, headers, body):
        await asyncio.sleep(self.args.delay_ms / 1000)
        status, reply = await self.forward(method, path, headers, body)
        self.record.add("late_start_delivered", task=task, status=status, reply=reply)

    async def handle(self, method, path, query, headers, body):
        if path == "/standin/arm":
            self.armed = True
            return 200, {}
        if self.armed and path == "/api/run-start":
            call = json.loads(body)
            if call["task"] not in self.withheld:
                self.withheld.add(call["task"])
                self.record.add("start_withheld", task=call["task"], run=call["attempt"],
                                delay_ms=self.args.delay_ms)
                late = self.deliver_late(call["task"], method, path, headers, body)
                self.late = asyncio.ensure_future(late)
                await asyncio.sleep(3600)
        try:
            return await self.forward(method, path, headers, body)
        except (OSError, IndexError, ValueError, asyncio.IncompleteReadError):
            return None, None


async def run_proxy(args):
    await serve_http(args.port, LateProxy(args).handle)
    await asyncio.Event().wait()


# -------------------------------------------------------------------- helpers


def post(port, path, body):
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=3)
    try:
        connection.request("POST", path, body, {"Content-Type": "application/json"})
        response = connection.getresponse()
        return response.status, response.read()
    finally:
        connection.close()


def free_ports(count):
    sockets = [socket.socket() for _ in range(count)]
    for item in sockets:
        item.bind(("127.0.0.1", 0))
    ports = [item.getsockname()[1] for item in sockets]
    for item in sockets:
        item.close()
    return ports


SETTINGS = """node_name = "{name}"
role = "node"
machine_class = "frontend"
serves = ["frontend"]
ip = "127.0.0.1"
zone = "{zone}"
region = "kyushu"
port_range = [{peer}, {peer}]
seed_nodes = []
bootstrap = true
in_fault_budget = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1500
contracts = ["base","drain","config","cost","recover","sched","tenants","quota","platform","upkeep"]
control_mode = "call"
[zones]
fukuoka = "kyushu"
kumamoto = "kyushu"
kagoshima = "kyushu"
[listen_addrs]
frontend = "127.0.0.1:{front}"
ready = "127.0.0.1:{ready}"
control_plane = "127.0.0.1:{control}"
[limits]
cpu_share = 0.25
cores = 1
memory_mb = 260
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[bounds]
contact_ms = 3000
ack_ms = 4000
drain_ms = 2000
grace_s = 6
loss_slack_ms = 200
config_apply_ms = 2000
max_hold_ms = 6000
stop_grace_ms = 900
gang_wait_ms = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
checkpoint_s = 0.5
restore_ms = 250
notice_ms = 4500
migrate_s = 1.5
maintenance_s = 2
fencing_enforced = false
lease_ms = 3000
[platform]
addr = "127.0.0.1:{platform}"
form = "table"
writes_per_s = 800
reads_per_s = 2000
txn_ms = 4.0
part_writes_s = 250
row_bytes = 65536
cross_shard = true
history_s = 20
[cloud_api]
addr = "127.0.0.1:{platform}"
rate_per_s = 64.0
duties = []
duty_per_s = 64.0
"""

HOST = "payroll.example"
PREFIX = "/jobs/"
KEY = "standin-key-1"
# A second tenant with a queue of its own.
OTHER_PREFIX = "/agencies/"
OTHER_KEY = "standin-key-2"


class Site:
    """A small deployment of separate processes; ends all of them on exit."""

    def __init__(self, folder, nodes=3, seed=1):
        self.folder = folder
        # The root of the repository, two folders above this file's.
        self.root = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
        self.path = os.path.join(folder, "record.txt")
        open(self.path, "w").close()
        self.record = Record(self.path)
        self.temporary = tempfile.TemporaryDirectory(prefix="magnoliapin-review-")
        self.random = random.Random(seed)
        self.processes = {}
        self.executors = {}
        self.nodes = {}
        self.zones = ["fukuoka", "kumamoto", "kagoshima"]
        try:
            self.start(nodes)
        except BaseException:
            self.__exit__()
            raise

    def start(self, nodes):
        """Starts the platform and the nodes."""
        (self.platform,) = free_ports(1)
        me = os.path.abspath(__file__)
        self.spawn("platform", [sys.executable, me, "platform", "--port", str(self.platform),
                                "--record", self.path])
        self.wait_for(self.platform)
        self.configure(1)
        for number in range(nodes):
            self.start_node(f"frontend-{self.zones[number % 3]}-{number + 1}")

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        self.temporary.cleanup()

    def spawn(self, name, command, **options):
        log = open(os.path.join(self.temporary.name, f"{name}.log"), "ab")
        process = subprocess.Popen(command, stdout=log, stderr=log, stdin=subprocess.DEVNULL,
                                   cwd=self.root, **options)
        self.processes[name] = process
        return process

    def wait_for(self, port, seconds=10):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            try:
                socket.create_connection(("127.0.0.1", port), 1).close()
                return
            except OSError:
                time.sleep(0.05)
        raise RuntimeError(f"nothing listens on port {port}")

    def configure(self, version, attempts=3):
        route = {
            "name": "r-jobs", "host": HOST, "path_prefix": PREFIX, "kind": "non_idempotent",
            "timeout_ms": 3000, "target_latency_ms": 600, "priority": 0, "service": "payroll",
            "max_attempts": attempts, "stretch_factor": 1.6, "public": False,
        }
        config = {
            "version": version,
            "routes": [route, {**route, "name": "r-agencies", "path_prefix": OTHER_PREFIX}],
            "services": [{"name": "payroll", "health_path": "/healthz", "max_conns": 64,
                          "protocol": "h1", "tls": False, "enforces_capacity": True,
                          "standby": False}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
            "tenants": [{"name": name, "api_keys": [key], "priority": 1, "weight": 50,
                         "cap": {"cpu": 0, "mem_mb": 0, "gpu": 0}}
                        for name, key in (("families", KEY), ("agencies", OTHER_KEY))],
        }
        body = json.dumps({"key": "config", "value": config})
        status, _ = post(self.platform, "/standin/operator", body)
        assert status == 200

    def start_node(self, name):
        known = self.nodes.get(name)
        ports = known["ports"] if known else free_ports(4)
        front, ready, control, peer = ports
        settings = os.path.join(self.temporary.name, f"{name}.toml")
        with open(settings, "w", encoding="utf-8") as file:
            zone = name.split("-")[1]
            file.write(SETTINGS.format(name=name, zone=zone, front=front, ready=ready,
                                       control=control, peer=peer, platform=self.platform))
        program = os.path.join(self.root, "target/release/magnoliapin")
        environment = {"PATH": os.environ.get("PATH", ""), "HOME": os.environ.get("HOME", "/"),
                       "MAGNOLIAPIN_SETTINGS": settings}
        process = self.spawn(name, [program, "node"], env=environment)
        self.nodes[name] = {"ports": ports, "process": process}
        self.record.add("node_started", node=name, pid=process.pid)

    def start_executor(self, name, machine, cpu=16000, mem_mb=32768, max_runs=10000, port=None,
                       labels="a,r1", public_port=None):
        port = port or free_ports(1)[0]
        me = os.path.abspath(__file__)
        zone = self.zones[len(self.executors) % 3]
        process = self.spawn(name, [
            sys.executable, me, "executor", "--id", name, "--machine", machine, "--zone", zone,
            "--service", "payroll", "--port", str(port), "--platform", str(self.platform),
            "--cpu", str(cpu), "--mem-mb", str(mem_mb), "--max-runs", str(max_runs),
            "--public-port", str(public_port or port), "--labels", labels, "--record", self.path])
        self.executors[name] = {"process": process, "machine": machine, "port": port,
                                "public_port": public_port}
        self.wait_for(port)

    def start_proxied_executor(self, name, machine, delay_ms, **options):
        """Starts an executor behind a proxy that can deliver starts late."""
        port, public_port = free_ports(2)
        me = os.path.abspath(__file__)
        self.spawn(f"proxy-{name}", [
            sys.executable, me, "proxy", "--port", str(public_port), "--backend", str(port),
            "--delay-ms", str(delay_ms), "--record", self.path])
        self.wait_for(public_port)
        self.start_executor(name, machine, port=port, public_port=public_port, **options)

    def restart_executor(self, name):
        """Starts a killed executor again, under its id and at its address."""
        known = self.executors[name]
        self.start_executor(name, known["machine"], port=known["port"],
                            public_port=known["public_port"])

    def kill_executor(self, name):
        self.record.add("executor_killed", executor=name)
        self.executors[name]["process"].kill()
        self.executors[name]["process"].wait()

    def call(self, method, path, body=None, node=None, timeout=3.0, headers=None):
        """Makes one call as a client; returns the status (0 without a complete answer) and the body."""
        node = node or self.random.choice(list(self.nodes))
        connection = http.client.HTTPConnection("127.0.0.1", self.nodes[node]["ports"][0],
                                                timeout=timeout)
        all_headers = {"Host": HOST, "Authorization": f"Token {KEY}",
                       "X-Deadline-Ms": str(int(timeout * 1000)), **(headers or {})}
        if body is not None:
            all_headers["Content-Type"] = "application/json"
        try:
            connection.request(method, path, body, all_headers)
            response = connection.getresponse()
            text = response.read().decode()
            status = response.status
        except OSError as error:
            status, text = 0, repr(error)
        except http.client.HTTPException as error:
            status, text = 0, repr(error)
        finally:
            connection.close()
        self.record.add("call", node=node, method=method, path=path, status=status,
                        reply=text[:200])
        return status, text

    def submit(self, job, phases, spec):
        """Submits a job until it is accepted; returns whether it was."""
        body = json.dumps({"spec": json.dumps(spec), "phases": phases})
        for _ in range(5):
            status, _ = self.call("POST", PREFIX + job, body)
            if 200 <= status < 300:
                return True
            time.sleep(0.3)
        return False

    def state(self, job):
        """Returns the state of a job; None if no node gave it."""
        for _ in range(5):
            status, text = self.call("GET", PREFIX + job)
            if status == 200:
                return json.loads(text)["state"]
            if status == 410:
                return "410"
            time.sleep(0.2)
        return None

    def job_id(self):
        return f"{self.random.getrandbits(64):016x}"

    def wait_ready(self, seconds=15):
        """Waits until all nodes answer and a small job was done."""
        end = time.monotonic() + seconds
        for node in self.nodes:
            while self.call("GET", PREFIX, node=node)[0] != 200:
                if time.monotonic() > end:
                    raise RuntimeError("the nodes do not get ready")
                time.sleep(0.2)
        job = self.job_id()
        if not self.submit(job, [{"count": 1, "cpu": 1000, "mem_mb": 64}], {"work_ms": 100}):
            raise RuntimeError("no job is accepted")
        while self.state(job) != "completed":
            if time.monotonic() > end:
                raise RuntimeError("the first job does not complete")
            time.sleep(0.2)

    def events(self):
        with open(self.path, encoding="utf-8") as file:
            return [json.loads(line) for line in file]

    def wait_event(self, match, seconds):
        """Waits for an event that matches; returns it or None."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            for event in self.events():
                if match(event):
                    return event
            time.sleep(0.01)
        return None

    def node_log(self, name):
        with open(os.path.join(self.temporary.name, f"{name}.log"), encoding="utf-8") as file:
            return file.read()

    def keep_logs(self, folder):
        """Copies the logs of the nodes; used while a case is written."""
        os.makedirs(folder, exist_ok=True)
        for name in self.nodes:
            with open(os.path.join(folder, f"{name}.log"), "w", encoding="utf-8") as file:
                file.write(self.node_log(name))


def run_case(run):
    """Runs a case and exits with its code; any error means that the case could not run."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        code = run(os.environ.get("TROUBLE", "1") != "0")
    except Exception:  # pylint: disable=broad-except
        traceback.print_exc()
        code = 2
    sys.exit(code)


def main():
    parser = argparse.ArgumentParser()
    commands = parser.add_subparsers(dest="command", required=True)
    platform = commands.add_parser("platform")
    platform.add_argument("--port", type=int, required=True)
    platform.add_argument("--record")
    executor = commands.add_parser("executor")
    for name in ("id", "machine", "zone", "service"):
        executor.add_argument(f"--{name}", required=True)
    for name in ("port", "platform", "cpu", "mem-mb", "max-runs"):
        executor.add_argument(f"--{name}", type=int, required=True)
    executor.add_argument("--public-port", type=int, help="port of the proxy in front of it")
    executor.add_argument("--labels", default="a,r1")
    executor.add_argument("--record")
    proxy = commands.add_parser("proxy")
    for name in ("port", "backend", "delay-ms"):
        proxy.add_argument(f"--{name}", type=int, required=True)
    proxy.add_argument("--record")
    args = parser.parse_args()
    run = {"platform": run_platform, "executor": run_executor, "proxy": run_proxy}[args.command]
    try:
        asyncio.run(run(args))
    except KeyboardInterrupt:
        pass


if __name__ == "__main__":
    main()
