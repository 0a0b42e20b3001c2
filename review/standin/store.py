"""Stand-in for the platform: the store, and the list of machines. It follows PROTOCOL.md."""

import asyncio
import base64
import json
import time

import wire

TXN_S = 0.004
HISTORY_S = 20.0
PAGE_ROWS = 500
CHECKPOINT_MS = 500
GANG_WAIT_S = 3.0
# A member that has not been heard of for this long is gone.
MEMBER_SILENCE_S = 0.5


class Platform:
    """The store of rows, and the machines."""

    def __init__(self, record, heartbeat_ms=1500, row_bytes=65536):
        self.record = record
        self.rows = {}
        self.version = 1
        self.history = []
        self.history_from = 1
        self.changed = asyncio.Condition()
        self.beats = {}
        self.heartbeat_s = heartbeat_ms / 1000.0
        self.row_bytes = row_bytes
        # One of None, "silent", "busy", "reset": how the store answers the system's calls.
        self.outage = None
        self.machines = {}
        self.gangs = {}
        # Called with the body of each transaction that is applied, before its answer is sent.
        self.on_commit = lambda body: None
        self.orders = []

    async def start(self):
        """Starts serving. Returns the addresses of the store and of the machines' service."""
        self.server = await wire.serve(self.handle, "127.0.0.1", 0)
        self.address = self.server.sockets[0].getsockname()[:2]
        asyncio.ensure_future(self.expire())
        return self.address

    def now_ms(self):
        return int(time.monotonic() * 1000)

    async def put(self, table, key, value):
        """Writes a row as the operator."""
        await self.apply([((table, "", key), base64.b64encode(json.dumps(value).encode()).decode())])

    async def apply(self, changes):
        self.version += 1
        for row, value in changes:
            if value is None:
                self.rows.pop(row, None)
            else:
                self.rows[row] = (value, self.version)
            self.history.append((time.monotonic(), self.version, row))
        while self.history and time.monotonic() - self.history[0][0] > HISTORY_S:
            self.history_from = self.history.pop(0)[1]
        async with self.changed:
            self.changed.notify_all()

    async def expire(self):
        """Removes the entries of executors that have been silent for three intervals."""
        while True:
            await asyncio.sleep(0.1)
            limit = time.monotonic() - 3 * self.heartbeat_s
            for name in [name for name, at in self.beats.items() if at < limit]:
                del self.beats[name]
                await self.apply([(("servers", "", name), None)])

    async def handle(self, method, path, query, headers, body):
        if path == "/standin/beat":
            return await self.beat(json.loads(body))
        if path == "/standin/gang":
            return 200, self.gang(json.loads(body))
        if path == "/api/machines":
            await asyncio.sleep(TXN_S)
            return 200, {"machines": self.list_machines(), "next_token": None}
        if path in ("/api/machine-move", "/api/machine-upkeep"):
            self.orders.append((path, json.loads(body)))
            return 409, {"reason": "busy"}
        if self.outage == "silent":
            return None
        if self.outage == "reset":
            return "reset"
        await asyncio.sleep(TXN_S)
        if self.outage == "busy":
            return 503, None
        if path == "/api/rows-tx":
            return await self.commit(json.loads(body))
        if path == "/api/rows-get":
            return 200, self.read(query)
        if path == "/api/rows-feed":
            return await self.feed(query)
        return 404, None

    async def beat(self, entry):
        """Takes the report of an executor; the row changes when more than its sequence number does."""
        name = entry["id"]
        self.beats[name] = time.monotonic()
        machine = self.machines.get(entry["entry"].get("machine"))
        if machine is not None:
            machine["id"] = name
        kept = self.rows.get(("servers", "", name))
        volatile = ("seq_no", "clock_ms")
        plain = {key: value for key, value in entry["entry"].items() if key not in volatile}
        if kept is not None:
            known = json.loads(base64.b64decode(kept[0]))
            known = {key: value for key, value in known.items() if key not in volatile}
            if known == plain:
                return 200, {}
        await self.put("servers", name, entry["entry"])
        return 200, {}

    def gang(self, value):
        """Keeps a gang: its members work only while all of them are present, all with the same attempt
        and the same checkpoint. The value that a member saves names the work done and the member."""
        now = time.monotonic()
        step, _, index = value["member"].rpartition(".")
        run = self.gangs.setdefault((step, value["attempt"]), {"members": {}, "since": None, "end": None})
        member = run["members"].setdefault(index, {"joined": now, "checkpoint": value["checkpoint"]})
        member["seen"] = now
        present = [one for one in run["members"].values() if now - one["seen"] < MEMBER_SILENCE_S]
        is_whole = len(present) == value["count"]
        is_alike = len({one["checkpoint"] for one in present}) == 1
        if run["since"] is None and run["end"] is None and is_whole and is_alike:
            run["since"] = now
            run["base_ms"] = int((value["checkpoint"] or "0-").partition("-")[0])
        saved, end = "", run["end"]
        if run["since"] is not None:
            worked_ms = run["base_ms"] + (now - run["since"]) * 1000
            steps = int(worked_ms) // CHECKPOINT_MS
            saved = "%d-%s" % (steps * CHECKPOINT_MS, index) if steps else ""
            if end is None and worked_ms >= value["ms"]:
                end = run["end"] = "done"
            elif end is None and not is_whole:
                end = run["end"] = "broken"
        elif end is None and now - member["joined"] > GANG_WAIT_S:
            end = "alone"
        return {"saved": saved, "end": end}

    def list_machines(self):
        machines = []
        for name, machine in self.machines.items():
            is_up = machine["id"] in self.beats
            machines.append({
                "machine": name, "pool": machine["pool"], "state": "up" if is_up else "down",
                "zone": machine["zone"], "labels": machine["labels"],
                "capacity": machine["capacity"], "id": machine["id"] if is_up else "",
            })
        return machines

    async def commit(self, body):
        def row_of(entry):
            return entry["table"], entry.get("part", ""), entry["key"]

        expected = body.get("expected_rev", [])
        current = {row_of(entry): self.rows.get(row_of(entry), (None, 0)) for entry in expected}
        if any(current[row_of(entry)][1] != entry["ver"] for entry in expected):
            rows = [self.show(row, kept) for row, kept in current.items() if kept[1]]
            return 412, {"rows": rows, "ver": self.version, "now_ms": self.now_ms()}
        entries = len(expected) + len(body.get("set_keys", [])) + len(body.get("remove", []))
        sizes = [len(base64.b64decode(entry["value"])) for entry in body.get("set_keys", [])]
        if entries > 100 or any(size > self.row_bytes for size in sizes):
            return 400, None
        changes = [(row_of(entry), entry["value"]) for entry in body.get("set_keys", [])]
        changes += [(row_of(entry), None) for entry in body.get("remove", [])]
        await self.apply(changes)
        self.on_commit(body)
        return 200, {"ver": self.version, "now_ms": self.now_ms()}

    def show(self, row, kept):
        return {"table": row[0], "part": row[1], "key": row[2], "value": kept[0], "ver": kept[1]}

    def read(self, query):
        table, part = query["table"], query.get("part", "")
        keys = sorted(row for row in self.rows if row[0] == table and row[1] == part)
        keys = [row for row in keys if row[2] >= query.get("from", "")]
        keys = [row for row in keys if "to" not in query or row[2] < query["to"]]
        limit = min(int(query.get("limit") or PAGE_ROWS), PAGE_ROWS)
        rows = [self.show(row, self.rows[row]) for row in keys[:limit]]
        return {"rows": rows, "has_more": len(keys) > limit, "ver": self.version,
                "now_ms": self.now_ms()}

    async def feed(self, query):
        table, after = query["table"], int(query["after"])
        deadline = time.monotonic() + min(int(query.get("wait_ms", 0)), 30_000) / 1000.0
        while True:
            if after < self.history_from - 1:
                return 410, None
            changed = {}
            for _, version, row in self.history:
                if version > after and row[0] == table:
                    changed[row] = version
            left = deadline - time.monotonic()
            if changed or left <= 0:
                break
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
            if self.outage == "silent":
                return None
            if self.outage == "reset":
                return "reset"
        rows = []
        for row, version in sorted(changed.items(), key=lambda item: item[1]):
            kept = self.rows.get(row)
            if kept is None:
                rows.append({"table": row[0], "part": row[1], "key": row[2], "ver": version,
                             "deleted": True})
            else:
                rows.append(self.show(row, kept))
        return 200, {"rows": rows, "ver": self.version, "now_ms": self.now_ms()}
