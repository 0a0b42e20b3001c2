"""A requester leaves before its job is stored, and cancels the job."""

import asyncio
import json
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standin-3"))
sys.dont_write_bytecode = True

import rig as stand_ins  # noqa: E402

LATE_S = 1.2
LEAVES_AFTER_S = 0.3
WORK_MS = 14000
CALM_S = 12


async def case(rig):
    await rig.start(stand_ins.small_config(), stand_ins.small_pool(8))
    await asyncio.sleep(4)
    job = stand_ins.new_job()
    held_up = []

    async def gate(call):
        if held_up or not any(row["key"].startswith(job) or job in row["key"]
                              for row in call.get("set_keys", [])):
            return "answer"
        held_up.append(call)
        rig.note("a write of the job gets no answer: "
                 + json.dumps([row["table"] for row in call["set_keys"]]))
        asyncio.get_running_loop().call_later(LATE_S, perform)
        await asyncio.sleep(60)
        return "break"

    def perform():
        rig.note(f"that write is performed: version {rig.store.perform(held_up[0])}")

    if rig.trouble:
        rig.store.transaction_gate = gate
    status, _ = await rig.submit(1, job, f"work_ms={WORK_MS}",
                                 [{"count": 2, "cpu": 1000, "mem_mb": 256,
                                   "estimate_ms": WORK_MS}], timeout=LEAVES_AFTER_S)
    acknowledged = None
    for _ in range(5):
        status, _ = await rig.ask(1, "DELETE", f"/q/{job}")
        if status is not None and (200 <= status < 300 or status == 410):
            acknowledged = time.monotonic()
            break
        await asyncio.sleep(0.5)
    if acknowledged is None:
        raise stand_ins.CannotRun("the cancel was not acknowledged")
    await asyncio.sleep(CALM_S)
    # The store has been sound for over 10 s; `cancel_ms` and `stop_grace_ms` are 3.9 s.
    going_on = [name for name, (_, ended) in rig.runs.items() if ended is None]
    for task, attempt, executor in going_on:
        began = rig.runs[task, attempt, executor][0]
        rig.note(f"still runs {CALM_S} s after the ack: task={task} attempt={attempt} "
                 f"executor={executor}; it began {began - acknowledged:.3f} s after the ack")
    await rig.ask(0, "GET", f"/q/{job}")
    return not going_on


stand_ins.main(FOLDER, case)
