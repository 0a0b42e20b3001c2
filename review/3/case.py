"""Two executors crash, some seconds apart, each soon after the same subtask has begun there."""

import asyncio
import json
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standin"))
import rig as rig_module

PREFIX = "/pay-calc/"
ENDS, LASTS = "5c0e7a21d94b36f8", "71aa03bd00170c4e"
CRASHES = 2
CRASH_AFTER_S = 0.3
DOWN_S = 1.0
# LOST holds for a subtask that lasts from 6 s after its last run, once nothing has run for 3 s.
CALM_S = 6.0 + 3.0 + 4.0


def job(work_ms, **fields):
    spec = {"ms": work_ms, "cpu": 1000, "lasts": fields.get("long_running", False)}
    return {"spec": json.dumps(spec),
            "phases": [{"count": 1, "cpu": 1000, "mem_mb": 512, "estimate_ms": 2000, **fields}]}


def starts_of(rig, name):
    return [row for row in rig.runs() if row["what"] == "start" and row["task"].startswith(name)]


async def crash_under(rig, name):
    """Kills the executor on which the job's subtask has just begun; it is back after a second."""
    for number in range(CRASHES):
        for _ in range(500):
            starts = starts_of(rig, name)
            if len(starts) > number:
                break
            await asyncio.sleep(0.02)
        else:
            rig.note("no further start", job=name)
            return
        await asyncio.sleep(CRASH_AFTER_S)
        executor = next(one for one in rig.executors if one.id == starts[number]["executor"])
        executor.kill()
        await asyncio.sleep(DOWN_S)
        executor.start()
        rig.note("executor back", executor=executor.id)


async def case(rig, trouble):
    await rig.start(nodes=3, executors=8)
    for name, value in ((ENDS, job(3_000)), (LASTS, job(10**9, long_running=True))):
        assert await rig.submit(PREFIX + name, value)
        if trouble:
            await crash_under(rig, name)
        await asyncio.sleep(3.0)
    await asyncio.sleep(CALM_S)
    violations = []
    status, state = await rig.state(PREFIX + ENDS)
    failed = [row for row in rig.runs() if row["what"] == "end" and row["how"] == "failed"]
    if state == "failed" and not failed:
        violations.append(f"LOST: job {ENDS} is shown as failed, and no run of it has ended failed")
    elif state != "completed":
        violations.append(f"LOST: job {ENDS} is answered {status} {state}")
    status, state = await rig.state(PREFIX + LASTS)
    last = starts_of(rig, LASTS)[-1]
    ended = [row for row in rig.runs() if row["what"] == "up" and row["executor"] == last["executor"]
             and row["at_ms"] > last["at_ms"]]
    if ended:
        waited_ms = int(time.time() * 1000) - ended[-1]["at_ms"]
        violations.append(f"LOST: subtask {last['task']} is to last and has not run for {waited_ms} ms, "
                          f"with 8 executors empty; its job is answered {status} {state}")
    return violations


rig_module.main(case, os.path.join(HERE, "record.txt"))
