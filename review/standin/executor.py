"""Stand-in for an executor, one process each. It follows "Running subtasks" of PROTOCOL.md.

The `spec` of a job states its subtasks' work as JSON: {"ms": M} or {"ms": M, "spread_ms": S}, where
subtask number I works for M + (I * 7919 mod S) milliseconds. With {"gang": N} the N subtasks of the
step work only together: each joins its gang at the stand-in platform, which says when they work.
"""

import asyncio
import json
import os
import sys
import time

import wire

SETTINGS = json.loads(sys.argv[1])
FINISHED_PER_RESPONSE = 500


class Executor:
    def __init__(self):
        self.started_at = time.monotonic()
        self.born = int(time.time() * 1000)
        self.fence = 0
        self.deadline_ms = 0
        self.running = {}
        self.highest_ended = {}
        self.finished = []
        self.last_end = 0
        self.ended = asyncio.Condition()
        self.log = open(SETTINGS["log"], "a", buffering=1)
        self.seq = 0
        self.is_lapsed = False

    def clock_ms(self):
        return 1000 + int((time.monotonic() - self.started_at) * 1000)

    def note(self, what, **fields):
        row = {"at_ms": int(time.time() * 1000), "what": what, "executor": SETTINGS["id"],
               "born": self.born, **fields}
        self.log.write(json.dumps(row) + "\n")

    async def run(self):
        server = await wire.serve(self.handle, "127.0.0.1", SETTINGS["port"])
        self.address = "127.0.0.1:%d" % server.sockets[0].getsockname()[1]
        self.note("up", address=self.address)
        asyncio.ensure_future(self.watch())
        await asyncio.sleep(SETTINGS.get("first_beat_s", 0.0))
        while True:
            await self.beat()
            await asyncio.sleep(SETTINGS["heartbeat_ms"] / 1000.0)

    async def beat(self):
        self.seq += 1
        entry = {
            "service": SETTINGS["service"], "addr": self.address, "zone": SETTINGS["zone"],
            "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0,
            "capacity": SETTINGS["capacity"], "labels": SETTINGS["labels"],
            "clock_ms": self.clock_ms(), "seq_no": self.seq, "born": self.born,
            "machine": SETTINGS["machine"],
        }
        value = {"id": SETTINGS["id"], "entry": entry}
        await wire.call(tuple(SETTINGS["store"]), "POST", "/standin/beat", value, timeout_s=1.0)

    async def watch(self):
        """Ends runs whose work is done, and everything when the lease expires."""
        while True:
            now = self.clock_ms()
            ended = [(task, "done") for task, run in self.running.items()
                     if not run["gang"] and now >= run["ends_ms"]]
            is_over = bool(self.deadline_ms) and now >= self.deadline_ms
            if is_over and not self.is_lapsed:
                self.note("lease over")
            self.is_lapsed = is_over
            if self.running and is_over:
                ended = [(task, "lapsed") for task in self.running]
            for task, how in ended:
                self.end(task, how)
            if ended:
                async with self.ended:
                    self.ended.notify_all()
            await asyncio.sleep(0.005)

    def end(self, task, how):
        run = self.running.pop(task)
        self.last_end += 1
        self.highest_ended[task] = max(self.highest_ended.get(task, 0), run["attempt"])
        self.finished.append([self.last_end, task, run["attempt"], how, run.get("saved", "")])
        self.note("end", task=task, attempt=run["attempt"], how=how, number=self.last_end)

    async def handle(self, method, path, query, headers, body):
        if headers.get("x-expect-instance", SETTINGS["id"]) != SETTINGS["id"]:
            return 421, {"clock_ms": self.clock_ms()}
        value = json.loads(body) if body else {}
        fence = value.get("fence_token", 0)
        if fence < self.fence:
            self.note("fenced", path=path, fence=fence, highest=self.fence)
            return 409, {"clock_ms": self.clock_ms(), "reason": "fence"}
        self.fence = fence
        if path == "/api/run-start":
            return self.start(value)
        if path == "/api/run-stop":
            return self.stop(value)
        if path == "/api/hold":
            return await self.hold(value)
        if path == "/api/pace":
            return 200, {"clock_ms": self.clock_ms()}
        return 404, None

    def extend(self, value):
        if "deadline_ms" in value:
            longest = self.clock_ms() + SETTINGS["max_hold_ms"]
            self.deadline_ms = max(self.deadline_ms, min(value["deadline_ms"], longest))

    def start(self, value):
        def refuse(reason):
            self.note("refused", task=task, attempt=attempt, why=reason)
            return 409, {"clock_ms": self.clock_ms(), "reason": reason}

        task, attempt = value["task"], value["attempt"]
        self.extend(value)
        present = self.running.get(task)
        if present is not None and present["attempt"] == attempt:
            return 200, {"clock_ms": self.clock_ms()}
        if attempt <= self.highest_ended.get(task, 0):
            return refuse("old")
        if self.deadline_ms <= self.clock_ms():
            return refuse("late")
        work = json.loads(value["spec"])
        used = [run["cpu"] for run in self.running.values()]
        if sum(used) + work.get("cpu", 0) > SETTINGS["capacity"]["cpu"]:
            return refuse("room")
        index = int(task.rsplit(".", 1)[1])
        spread = work.get("spread_ms", 0)
        work_ms = work["ms"] + (index * 7919 % spread if spread else 0)
        now = self.clock_ms()
        self.running[task] = {"attempt": attempt, "began_ms": now, "ends_ms": now + work_ms,
                              "cpu": work.get("cpu", 0), "lasts": work.get("lasts", False),
                              "gang": work.get("gang", 0), "saved": value.get("checkpoint", "")}
        self.note("start", task=task, attempt=attempt, fence=value.get("fence_token", 0),
                  checkpoint=value.get("checkpoint"))
        if work.get("gang"):
            asyncio.ensure_future(self.join_gang(task, attempt, work, value.get("checkpoint", "")))
        return 200, {"clock_ms": now}

    async def join_gang(self, task, attempt, work, checkpoint):
        """Keeps a member in its gang until the gang says how it has ended."""
        member = {"member": task, "attempt": attempt, "count": work["gang"], "ms": work["ms"],
                  "checkpoint": checkpoint, "executor": SETTINGS["id"]}
        while self.running.get(task, {}).get("attempt") == attempt:
            status, reply = await wire.call(tuple(SETTINGS["store"]), "POST", "/standin/gang", member,
                                            timeout_s=1.0)
            run = self.running.get(task)
            if status != 200 or run is None or run["attempt"] != attempt:
                continue
            if work.get("saves", True):
                run["saved"] = reply["saved"] or run["saved"]
            if reply["end"]:
                self.end(task, reply["end"])
                async with self.ended:
                    self.ended.notify_all()
                return
            await asyncio.sleep(0.05)

    def stop(self, value):
        task, attempt = value["task"], value["attempt"]
        run = self.running.get(task)
        if run is not None and run["attempt"] == attempt:
            self.end(task, "stopped")
        self.highest_ended[task] = max(self.highest_ended.get(task, 0), attempt)
        return 200, {"clock_ms": self.clock_ms()}

    async def hold(self, value):
        self.extend(value)
        acked = value.get("ack_seq", 0)
        if self.finished and self.finished[0][0] <= acked:
            self.finished = [row for row in self.finished if row[0] > acked]
            self.note("acked", number=acked)
        wait_s = min(value.get("wait_ms", 0), 2000) / 1000.0
        if not self.finished and wait_s:
            async with self.ended:
                try:
                    await asyncio.wait_for(self.ended.wait(), wait_s)
                except asyncio.TimeoutError:
                    pass
        now = self.clock_ms()
        running = []
        for task, run in self.running.items():
            percent = 100 if run["lasts"] else min(99, 100 * (now - run["began_ms"])
                                                   // max(1, run["ends_ms"] - run["began_ms"]))
            running.append([task, run["attempt"], run["saved"], percent, run["cpu"]])
        return 200, {"clock_ms": now, "born": self.born, "running": running,
                     "finished": self.finished[:FINISHED_PER_RESPONSE]}


if __name__ == "__main__":
    os.setpgid(0, 0) if SETTINGS.get("own_group") else None
    asyncio.run(Executor().run())
