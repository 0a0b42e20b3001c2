"""A start is carried out late, by the next lifetime of its executor, after a change of leader."""

import asyncio
import json
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standin-3"))
sys.dont_write_bytecode = True

import rig as stand_ins  # noqa: E402

# Share and length of `applied_late` on the site.
LATE_SHARE = 0.055
LATE_FOR_S = 5.5
# Sound subtasks that start beside the one that is looked at.
OTHERS = 24
# All times count from the first start of the subtask.
CRASH_AT_S = 1.5
KILL_AT_S = 2.0
RESTARTED_AFTER_S = 1.0
LATE_AT_S = 6.0
BACK_AT_S = 5.9
REGISTERS_AFTER_S = 0.3
WORK_MS = 6000


async def case(rig):
    await rig.start(stand_ins.small_config(), stand_ins.small_pool(8))
    await asyncio.sleep(4)
    job = stand_ins.new_job()
    if rig.trouble:
        arm(rig, job)
    began = time.monotonic()
    status, _ = await rig.submit(
        0, job, f"work_ms={WORK_MS}",
        [{"count": 1, "cpu": 1000, "mem_mb": 256, "estimate_ms": WORK_MS}])
    if status != 200:
        raise stand_ins.CannotRun("the job was not accepted")
    await rig.submit(1, stand_ins.new_job(), "work_ms=400",
                     [{"count": OTHERS, "cpu": 500, "mem_mb": 64, "estimate_ms": 400}])
    await asyncio.sleep(22)
    if rig.trouble:
        rig.check_share("starts without an answer", 1, rig.start_orders, began, LATE_FOR_S, LATE_SHARE)
    if not any(task.startswith(job) for task, _, _ in rig.runs):
        raise stand_ins.CannotRun("the subtask never ran")
    overlap = rig.longest_overlap()
    rig.note(f"longest time of two runs of one subtask at the same time: {overlap:.3f} s")
    return overlap <= 0


def arm(rig, job):
    """Withholds the first start of a job's subtask, and plays the rest at that executor."""
    withheld = []

    def gate_of(executor):
        async def gate(headers, body):
            call = json.loads(body)
            if withheld or not call["task"].startswith(job):
                return "answer"
            withheld.append(body)
            rig.note(f"start without an answer: task={call['task']} attempt={call['attempt']} "
                     f"executor={executor.name}")
            asyncio.ensure_future(play(rig, executor, headers, body))
            await asyncio.sleep(60)
            return "break"
        return gate

    for executor in rig.executors:
        executor.start_gate = gate_of(executor)


async def play(rig, executor, headers, body):
    began = time.monotonic()

    async def until(seconds):
        await asyncio.sleep(began + seconds - time.monotonic())

    await until(CRASH_AT_S)
    rig.note(f"crash executor={executor.name}")
    executor.crash()
    await until(KILL_AT_S)
    leaders = [node for node in rig.nodes if b"event=scheduler_began" in node["log"].read_bytes()]
    if len(leaders) == 1:
        rig.note(f"kill node={leaders[0]['name']}, the only one that has led")
        leaders[0]["process"].kill()
        leaders[0]["process"].wait()
        await asyncio.sleep(RESTARTED_AFTER_S)
        rig.restart(leaders[0])
    await until(BACK_AT_S)
    executor.registers_after_s = REGISTERS_AFTER_S
    await executor.start()
    rig.note(f"back under the same id executor={executor.name}")
    await until(LATE_AT_S)
    await executor.carry_out_late(headers, body)


stand_ins.main(FOLDER, case)
