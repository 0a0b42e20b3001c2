"""One large job of subtasks that request no room."""
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "..", "standin-2"))
from standin import Site, run_case  # noqa: E402

EXECUTORS = 10
LARGE_COUNT = 6000
JOBS = 20
# RULES.md, LOST: finish_s after the end of the traffic, a job has nothing running for 3 s.
WATCH_S = 14.0 + 3.0


def run(trouble):
    with Site(FOLDER) as site:
        for number in range(EXECUTORS):
            site.start_executor(f"i-{number:02}a", f"m-{number:02}")
        site.wait_ready()
        time.sleep(2)
        if trouble:
            large = [{"count": LARGE_COUNT, "estimate_ms": 200}]
            if not site.submit(site.job_id(), large, {"work_ms": 200}):
                return 2
            time.sleep(1)
        jobs = [site.job_id() for _ in range(JOBS)]
        for job in jobs:
            phase = {"count": 2, "cpu": 1000, "mem_mb": 256, "estimate_ms": 500}
            if not site.submit(job, [phase], {"work_ms": 500}):
                return 2
        time.sleep(WATCH_S)
        if os.environ.get("KEEP"):
            site.keep_logs(os.environ["KEEP"])
        states = [site.state(job) for job in jobs]
        events = site.events()
        begun = {e["task"].split(".")[0] for e in events if e["event"] == "began"}
        stuck = [job for job in jobs if job not in begun]
        refused = [e for e in events if e["event"] == "row_too_large"]
        print(f"{len(stuck)} of {JOBS} jobs have not begun {WATCH_S:.0f} s after their ack; states: "
              f"{ {state: states.count(state) for state in set(states)} }")
        print(f"rows refused as too large: {len(refused)}, {refused[:1]}")
        return 1 if stuck else 0


run_case(run)
