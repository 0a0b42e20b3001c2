"""Measures entries from outside the process: `python3 docs/measure_entry.py`, after
`cargo build --release --locked`.

Starts one platform, 12 targets and 3 entries on loopback, and reads /proc and /metrics twice.
"""

import json
import pathlib
import re
import subprocess
import tempfile
import threading
import time
import urllib.request

BINARY = "target/release/magnoliapin"
SPAN = 20
RATE = 60
DOCUMENT = """
[pools.main]
instances = 12
max_unavailable = 2
[teams.ops]
limit = 10
operator = true
keys.first = "%s"
[teams.guest]
limit = 90
[queues.main]
pool = "main"
open = true
open_team = "guest"
idempotent = true
"""


def start(*arguments):
    return subprocess.Popen([BINARY, *arguments], stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL)


def settings(folder, number):
    path = pathlib.Path(folder) / f"entry-{number}.toml"
    path.write_text(
        f'zone = "zone-{number}"\ncaller_listen = "127.0.0.1:{17100 + number}"\n'
        f'peer_listen = "127.0.0.1:{17200 + number}"\nplatform = "127.0.0.1:17001"\n'
        'peer_key = "a key for trials on loopback"\n[log]\nlevel = "off"\n'
    )
    return str(path)


def sample(process, port):
    fields = pathlib.Path(f"/proc/{process.pid}/stat").read_text().rsplit(")", 1)[1].split()
    pages = int(pathlib.Path(f"/proc/{process.pid}/statm").read_text().split()[1])
    url = f"http://127.0.0.1:{port}/metrics"
    text = urllib.request.urlopen(url, timeout=2).read().decode()
    sums = {}
    for name, value in re.findall(r"^(\w+_total)\S* ([\d.]+)$", text, re.M):
        sums[name] = sums.get(name, 0) + float(value)
    sent = re.search(r'datagrams_total\{fate="sent"\} (\d+)', text)
    sums["sent"] = float(sent.group(1)) if sent else 0
    return (int(fields[11]) + int(fields[12])) / 100, pages * 4096 / 1e6, sums


def measure(name, entries):
    before = [sample(entry, 17101 + index) for index, entry in enumerate(entries)]
    time.sleep(SPAN)
    after = [sample(entry, 17101 + index) for index, entry in enumerate(entries)]
    for index, (old, new) in enumerate(zip(before, after)):
        rate = lambda key: (new[2].get(key, 0) - old[2].get(key, 0)) / SPAN
        print(
            f"| {name} | {index + 1} | {(new[0] - old[0]) / SPAN * 100:.2f} | {new[1]:.1f} "
            f"| {rate('sent'):.1f} | {rate('magnoliapin_calls_total'):.1f} "
            f"| {rate('magnoliapin_answers_total'):.1f} |",
            flush=True,
        )


def load(stop, failures):
    number = 0
    while not stop.is_set():
        number += 1
        url = f"http://127.0.0.1:{17101 + number % 3}/v1/queues/main/requests"
        body = json.dumps({"run_ms": 100}).encode()
        try:
            urllib.request.urlopen(urllib.request.Request(url, body), timeout=10).read()
        except OSError as error:
            failures.append(str(error))
        time.sleep(max(0.0, 10 / RATE - 0.1))


def main():
    processes = [start("stand-in", "platform", "--listen", "127.0.0.1:17001")]
    stop, failures = threading.Event(), []
    try:
        time.sleep(0.5)
        for number in range(12):
            zone, rack = f"zone-{number % 3 + 1}", f"rack-{number // 3}"
            listen = f"127.0.0.1:{17300 + number}"
            arguments = ["--listen", listen, "--zone", zone, "--rack", rack, "--pool", "main"]
            processes.append(start("stand-in", "target", *arguments, "--platform", "127.0.0.1:17001"))
        with tempfile.TemporaryDirectory() as folder:
            entries = [start("entry", "--settings", settings(folder, number)) for number in (1, 2, 3)]
            processes.extend(entries)
            time.sleep(4)
            key = subprocess.run([BINARY, "key", "new", "first"], capture_output=True, text=True, check=True)
            line = re.search(r"sha256:[0-9a-f]{64}", key.stdout).group(0)
            document = pathlib.Path(folder) / "site.toml"
            document.write_text(DOCUMENT % line)
            apply = [BINARY, "--entry", "127.0.0.1:17101", "config", "apply", str(document)]
            subprocess.run(apply, check=True, capture_output=True)
            time.sleep(5)
            print("| state | entry | % of a core | MB | datagrams sent a second | calls a second | answers a second |")
            print("|---|---|---|---|---|---|---|")
            measure("idle", entries)
            threads = [threading.Thread(target=load, args=(stop, failures)) for _ in range(10)]
            for thread in threads:
                thread.start()
            time.sleep(1)
            measure("loaded", entries)
            stop.set()
            for thread in threads:
                thread.join()
            print(f"failed requests: {len(failures)} {failures[:1]}")
    finally:
        stop.set()
        for process in reversed(processes):
            process.terminate()
        for process in processes:
            process.wait()


main()
