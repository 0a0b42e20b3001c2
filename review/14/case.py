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
# One of these jobs is given up: 0.05 of 0.25.
JOBS = 20
GIVEN_UP = 10
# Share and length of `platform_lost` on the site.
LOST_SHARE = 0.35
LOST_FOR_S = 4.5


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
    began = time.monotonic()
    others = []
    for number in range(GIVEN_UP):
        others.append(await hand_in_other(rig, number))
    phase = {"count": 2, "cpu": 1000, "mem_mb": 256, "estimate_ms": WORK_MS}
    await rig.submit(1, job, f"work_ms={WORK_MS}", [phase], timeout=LEAVES_AFTER_S)
    acknowledged = None
    for _ in range(5):
        status, _ = await rig.ask(1, "DELETE", f"/q/{job}")
        if status is not None and (200 <= status < 300 or status == 410):
            acknowledged = time.monotonic()
            break
        await asyncio.sleep(0.5)
    if acknowledged is None:
        raise stand_ins.CannotRun("the cancel was not acknowledged")
    for number in range(GIVEN_UP + 1, JOBS):
        others.append(await hand_in_other(rig, number))
    await asyncio.sleep(max(0, acknowledged + CALM_S - time.monotonic()))
    if rig.trouble:
        rig.check_share("writes without an answer", 1, rig.store.writes, began, LOST_FOR_S,
                        LOST_SHARE)
    # The store has been sound for over 10 s; `cancel_ms` and `stop_grace_ms` are 3.9 s.
    going_on = [name for name, (_, ended) in rig.runs.items()
                if ended is None and name[0].startswith(job)]
    for task, attempt, executor in going_on:
        began = rig.runs[task, attempt, executor][0]
        rig.note(f"still runs {CALM_S} s after the ack: task={task} attempt={attempt} "
                 f"executor={executor}; it began {began - acknowledged:.3f} s after the ack")
    for node in range(3):
        await rig.ask(node, "GET", f"/q/{job}")
    for other in others:
        status, answer = await rig.ask(0, "GET", f"/q/{other}")
        if status != 200 or answer["state"] != "completed":
            raise stand_ins.CannotRun("another job is not completed")
    return not going_on


async def hand_in_other(rig, number):
    """Hands a job in whose requester waits for the answer."""
    job = stand_ins.new_job()
    status, _ = await rig.submit(number % 3, job, "work_ms=500",
                                 [{"count": 2, "cpu": 500, "mem_mb": 64, "estimate_ms": 500}])
    if status != 200:
        raise stand_ins.CannotRun("another job was not accepted")
    await asyncio.sleep(0.1)
    return job


stand_ins.main(FOLDER, case)
