"""Two executors crash, one after the other, each with the same sound subtask on it."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standin-3"))
sys.dont_write_bytecode = True

import rig as stand_ins  # noqa: E402

CRASHES = 2
CRASH_AFTER_S = 0.3
DOWN_S = 4.5
WORK_MS = 3000


async def crash(rig, executor):
    await asyncio.sleep(CRASH_AFTER_S)
    before = executor.name
    rig.note(f"crash executor={before}")
    executor.crash()
    await asyncio.sleep(DOWN_S)
    # Three ping intervals without a ping have passed.
    rig.store.drop("servers", before)
    executor.name = before + "x"
    await executor.start()
    rig.note(f"back machine={executor.machine} executor={executor.name}")


async def case(rig):
    await rig.start(stand_ins.small_config(), stand_ins.small_pool(8))
    await asyncio.sleep(4)
    crashes = []

    def on_start(executor, task, attempt):
        if rig.trouble and len(crashes) < CRASHES:
            crashes.append(asyncio.ensure_future(crash(rig, executor)))

    rig.start_hooks.append(on_start)
    job = stand_ins.new_job()
    status, _ = await rig.submit(0, job, f"work_ms={WORK_MS}",
                                 [{"count": 1, "cpu": 1000, "mem_mb": 256, "estimate_ms": WORK_MS}])
    if status != 200:
        raise stand_ins.CannotRun("the job was not accepted")
    state = None
    for _ in range(80):
        await asyncio.sleep(0.5)
        _, answer = await rig.ask(1, "GET", f"/q/{job}")
        state = (answer or {}).get("state")
        if state in ("completed", "failed", "cancelled"):
            break
    if rig.trouble and len(crashes) < CRASHES:
        raise stand_ins.CannotRun("the executors have not crashed")
    # No subtask fails here and nobody cancels, so there is no cause for these two states.
    return state not in ("failed", "cancelled")


stand_ins.main(FOLDER, case)
