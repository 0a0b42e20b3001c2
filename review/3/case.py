"""The leader freezes for less than 4 s while an executor is down, and wakes just after it is back."""

import asyncio
import json
import os
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standin"))
import rig as rig_module

PREFIX = "/pay-calc/"
FILLER, PAYMENT = "71aa03bd00170c4e", "5c0e7a21d94b36f8"
# Two executors of eight are of kind "b"; the payment needs that kind.
SPECIAL = (2, 5)
FROZEN_S = 3.9
FIRST_BEAT_S = 0.3


def job(cpu, ms):
    return {"spec": json.dumps({"ms": ms, "cpu": cpu}),
            "phases": [{"count": 1, "cpu": cpu, "mem_mb": 512, "estimate_ms": ms, "requirements": "b"}]}


def rows_of(rig, what, name):
    return [row for row in rig.runs() if row["what"] == what and row.get("task", "").startswith(name)]


async def case(rig, trouble):
    await rig.start(nodes=3, executors=8, special=SPECIAL)
    loop = asyncio.get_running_loop()
    # The filler occupies one of the two executors for 2.5 s.
    assert await rig.submit(PREFIX + FILLER, job(14_000, 2_500))
    while not rows_of(rig, "start", FILLER):
        await asyncio.sleep(0.01)
    busy = rows_of(rig, "start", FILLER)[0]["executor"]
    other = next(one for one in rig.executors if one.number in SPECIAL and one.id != busy)
    leader = next(node for node in rig.nodes if node.leads())
    frozen = []

    def freeze(body):
        """Freezes the leader as the answer to its write for the other executor is on its way."""
        keys = [(entry["table"], entry["key"]) for entry in body.get("set_keys", [])]
        if trouble and not frozen and ("led", other.id) in keys:
            leader.send(signal.SIGSTOP)
            frozen.append(loop.time())
            other.kill()

    rig.platform.on_commit = freeze
    assert await rig.submit(PREFIX + PAYMENT, job(4_000, 300))
    await asyncio.sleep(0.15)
    if trouble:
        frozen_at = frozen[0]
        # A new leader takes over and runs the payment elsewhere.
        while loop.time() < frozen_at + FROZEN_S - 0.6:
            await asyncio.sleep(0.01)
        ups = len([row for row in rig.runs() if row["what"] == "up" and row["executor"] == other.id])
        other.start(first_beat_s=FIRST_BEAT_S)
        while len([row for row in rig.runs()
                   if row["what"] == "up" and row["executor"] == other.id]) == ups:
            await asyncio.sleep(0.005)
        leader.send(signal.SIGCONT)
        rig.note("frozen for", ms=int((loop.time() - frozen_at) * 1000))
    for _ in range(100):
        if (await rig.state(PREFIX + PAYMENT))[1] == "completed":
            break
        await asyncio.sleep(0.1)
    else:
        raise RuntimeError("the payment is not completed")
    await asyncio.sleep(6.0)
    rows = rig.runs()
    noted, violations = rig_module.noted_ends(rows), []
    for row in rows:
        done = noted.get(row.get("task"))
        if row["what"] == "start" and done is not None and row["at_ms"] > done["at_ms"]:
            violations.append(
                f"TWICE: {row['task']} is started on {row['executor']} as attempt {row['attempt']} with "
                f"fence {row['fence']}, {row['at_ms'] - done['at_ms']} ms after its run "
                f"{done['attempt']} on {done['executor']} has ended done and was taken note of")
    return violations


rig_module.main(case, os.path.join(HERE, "record.txt"))
