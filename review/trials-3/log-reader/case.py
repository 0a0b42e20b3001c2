"""The reader of the nodes' standard output pauses."""

import asyncio
import os
import signal
import subprocess
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parents[1] / "standin-3"))
sys.dont_write_bytecode = True

import rig as stand_ins  # noqa: E402

JOBS = 60
PAUSE_AT = 2


async def case(rig):
    reader_input, writer_output = os.pipe()
    reader = subprocess.Popen([sys.executable, "-c",
                               "import sys\nwhile sys.stdin.buffer.read1(65536): pass"],
                              stdin=reader_input)
    os.close(reader_input)
    try:
        return await play(rig, reader, writer_output)
    finally:
        os.close(writer_output)
        reader.send_signal(signal.SIGCONT)
        reader.kill()
        reader.wait()


async def play(rig, reader, output):
    await rig.start(stand_ins.small_config(), stand_ins.small_pool(8),
                    stdout=lambda _number: output)
    await asyncio.sleep(4)
    accepted = []
    for number in range(JOBS):
        if number == PAUSE_AT and rig.trouble:
            rig.note("the reader of the log is stopped")
            reader.send_signal(signal.SIGSTOP)
        job = stand_ins.new_job()
        status, _ = await rig.submit(number % 3, job, "work_ms=500",
                                     [{"count": 16, "cpu": 500, "mem_mb": 256,
                                       "estimate_ms": 500}])
        if status == 200:
            accepted.append(job)
        await asyncio.sleep(0.25)
        if status is None:
            break
    rig.note(f"accepted={len(accepted)}; the traffic has ended")
    await asyncio.sleep(stand_ins.BOUNDS["finish_s"])
    lost = []
    for job in accepted:
        states = []
        for node in range(3):
            _, answer = await rig.ask(node, "GET", f"/q/{job}", timeout=3)
            states.append((answer or {}).get("state"))
        if "completed" not in states:
            lost.append(job)
        if len(lost) >= 3:
            break
    rig.note(f"not completed, or no answer from any node: {len(lost)}")
    return not lost


stand_ins.main(FOLDER, case)
