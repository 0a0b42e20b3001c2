"""An executor starts again under its id while a start that it never answered is still on its way."""
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standin-2"))
from standin import Site, post, run_case  # noqa: E402

EXECUTORS = 10
DELAY_MS = 6000
WORK_MS = 12000


def overlaps(events, task):
    """Returns pairs of runs of a subtask that were at work at the same time on live executors."""
    runs = []
    for event in events:
        if event["event"] == "began" and event["task"] == task:
            runs.append([event["run"], event["executor"], event["t"], float("inf")])
        ends = event["event"] == "ended" and event["task"] == task
        for run in runs:
            if (ends and run[0] == event["run"]) or (
                event["event"] == "executor_killed" and run[1] == event["executor"]
            ):
                run[3] = min(run[3], event["t"])
    pairs = [(a, b) for i, a in enumerate(runs) for b in runs[i + 1:]]
    return runs, [(a, b) for a, b in pairs if a[2] < b[3] and b[2] < a[3]]


def run(trouble):
    with Site(FOLDER) as site:
        for number in range(EXECUTORS):
            site.start_proxied_executor(f"i-{number:02}a", f"m-{number:02}", DELAY_MS)
        site.wait_ready()
        time.sleep(2)
        if trouble:
            for executor in site.executors.values():
                post(executor["public_port"], "/standin/arm", b"{}")
        # Fills the executor that is first in line, so that it is empty again when the job's subtask
        # is placed for the second time.
        if not site.submit(site.job_id(), [{"count": 1, "cpu": 16000, "mem_mb": 256}],
                           {"work_ms": 1500}):
            return 2
        time.sleep(0.3)
        job = site.job_id()
        task = f"{job}.0.0.0"
        if not site.submit(job, [{"count": 1, "cpu": 1000, "mem_mb": 256, "estimate_ms": WORK_MS}],
                           {"work_ms": WORK_MS}):
            return 2
        began = site.wait_event(lambda e: e["event"] == "began" and e["task"] == task, 10)
        if began is None:
            return 2
        if trouble:
            time.sleep(2.0)
            site.kill_executor(began["executor"])
            time.sleep(0.5)
            site.restart_executor(began["executor"])
        end = time.monotonic() + 30
        while time.monotonic() < end and site.state(job) != "completed":
            time.sleep(0.5)
        time.sleep(1)
        if os.environ.get("KEEP"):
            site.keep_logs(os.environ["KEEP"])
        runs, twice = overlaps(site.events(), task)
        for attempt, executor, begin, stop in runs:
            print(f"run {attempt} on {executor}: {begin - began['t']:.3f} s to "
                  f"{stop - began['t']:.3f} s")
        print(f"{len(twice)} pairs of runs at the same time")
        return 1 if twice else 0


run_case(run)
