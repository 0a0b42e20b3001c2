"""An unhealthy executor refuses starts while the other executors are full."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standin-3"))
sys.dont_write_bytecode = True

import rig as stand_ins  # noqa: E402

EXECUTORS = 12
JOBS = 12
FILL_MS = 40000
WORK_MS = 500
UNHEALTHY_S = 6.5
# Over `visible_ms` and 2 s; the answers come while the executor is still unhealthy.
WAIT_S = stand_ins.BOUNDS["visible_ms"] / 1000 + 2 + 0.7


def recover(rig, executor):
    rig.note(f"healthy again executor={executor.name}")
    executor.refusal = None


async def case(rig):
    await rig.start(stand_ins.small_config(), stand_ins.small_pool(EXECUTORS))
    await asyncio.sleep(4)
    status, _ = await rig.submit(
        0, stand_ins.new_job(), f"work_ms={FILL_MS}",
        [{"count": EXECUTORS - 1, "cpu": 16000, "mem_mb": 1024, "estimate_ms": FILL_MS}])
    if status != 200:
        raise stand_ins.CannotRun("the first job was not accepted")
    await asyncio.sleep(3)
    free = [one for one in rig.executors if not one.runs]
    if len(free) != 1:
        raise stand_ins.CannotRun(f"{len(free)} executors are free, not one")
    if rig.trouble:
        rig.note(f"unhealthy executor={free[0].name}")
        free[0].refusal = 503
        asyncio.get_running_loop().call_later(UNHEALTHY_S, recover, rig, free[0])
    accepted = []
    for number in range(JOBS):
        job = stand_ins.new_job()
        status, _ = await rig.submit(
            number % 3, job, f"work_ms={WORK_MS}",
            [{"count": 1, "cpu": 1000, "mem_mb": 256, "estimate_ms": WORK_MS}])
        if status == 200:
            accepted.append(job)
    if len(accepted) < JOBS:
        raise stand_ins.CannotRun("not all jobs were accepted")
    await asyncio.sleep(WAIT_S)
    held = True
    for node in range(3):
        begun = {task.split(".")[0] for task, _, _ in rig.runs}
        waiting = sum(1 for job in accepted if job not in begun)
        _, answer = await rig.ask(node, "GET", "/q/")
        pending = (answer or {}).get("pending")
        rig.note(f"accepted over {WAIT_S} s ago and not begun: {waiting}; pending: {pending}")
        if pending is not None and pending < waiting / 2:
            held = False
    return held


stand_ins.main(FOLDER, case)
