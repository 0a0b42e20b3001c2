"""The store is down for 4.5 s while an executor ends more than 500 subtasks."""

import asyncio
import json
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standin"))
import rig as rig_module

PREFIX = "/pay-calc/"
JOBS = 15
SUBTASKS = 100
# Time between two jobs, and when the first subtasks end; the ends spread over five seconds.
GAP_S = 0.5
FIRST_END_S = 11.0
SPREAD_MS = 5_000
OUTAGE_FROM_S = 11.3
OUTAGE_S = 4.5


async def case(rig, trouble):
    await rig.start(nodes=3, executors=6)
    loop = asyncio.get_running_loop()
    began = loop.time()

    async def until(at_s):
        await asyncio.sleep(max(0.0, began + at_s - loop.time()))

    names = ["%016x" % (0x5c0e7a21d94b0000 + number * 0x9d3) for number in range(JOBS)]
    for number, name in enumerate(names):
        await until(number * GAP_S)
        work = {"ms": int((FIRST_END_S - number * GAP_S) * 1000), "spread_ms": SPREAD_MS, "cpu": 10}
        phase = {"count": SUBTASKS, "cpu": 10, "mem_mb": 16, "estimate_ms": work["ms"]}
        assert await rig.submit(PREFIX + name, {"spec": json.dumps(work), "phases": [phase]})
    await until(OUTAGE_FROM_S)
    if trouble:
        rig.note("store down")
        rig.platform.outage = "busy"
    await until(OUTAGE_FROM_S + OUTAGE_S)
    if trouble:
        rig.note("store up")
        rig.platform.outage = None
    for name in names:
        for _ in range(300):
            if (await rig.state(PREFIX + name))[1] == "completed":
                break
            await asyncio.sleep(0.1)
        else:
            raise RuntimeError("a job is not completed")
    await asyncio.sleep(2.0)
    return find_doubles(rig.runs())


def find_doubles(rows):
    """Returns the starts after a run of the same subtask has ended `done`, if that end is taken note of
    then or later."""
    noted, violations = rig_module.noted_ends(rows), []
    for row in rows:
        end = noted.get(row.get("task"))
        if row["what"] == "start" and end is not None and row["at_ms"] > end["at_ms"]:
            violations.append(
                f"TWICE: {row['task']} is started on {row['executor']} as attempt {row['attempt']}, "
                f"{row['at_ms'] - end['at_ms']} ms after its run {end['attempt']} on "
                f"{end['executor']} has ended done (end {end['number']}, taken note of)")
    return violations


rig_module.main(case, os.path.join(HERE, "record.txt"))
