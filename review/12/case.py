"""Scheduled jobs with many occurrences come in, and the platform ends processes over their memory."""

import os
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
from standin3 import TROUBLE, ask, config, route, run

JOBS = 220
JOBS_PER_S = 3.4
OCCURRENCES = 10000 if TROUBLE else 8
# The larger reading of the pages' 260 MB.
MEMORY_BYTES = 260 * 1024 * 1024
RESTART_S = 1.0
# With this many ends in the day, on a tenth of the machines and on two at least, the day has a fault.
ENDS_MAX = 3
MACHINES_MIN = 2
LOOK_S = 15
IDLE_S = 3
GPUS = 16 * 8


def resident_bytes(pid):
    try:
        with open("/proc/%d/status" % pid, encoding="ascii") as file:
            for line in file:
                if line.startswith("VmRSS:"):
                    return int(line.split()[1]) * 1024
    except OSError:
        pass
    return 0


def play(case):
    case.store.put("op/config", config(
        1, [route("q-score", "etch", "/score/", priority=2), route("q-roster", "etch", "/roster/", priority=0)],
        [{"name": "north", "apiKeys": ["key-north"], "guaranteed": {"gpu": 0}},
         {"name": "south", "apiKeys": ["key-south"], "guaranteed": {"gpu": 32}}]))
    for n in range(16):
        case.worker("w%d" % n, "etch", rack="r%d" % (n // 8))
    daemons = [case.daemon("front-%d" % n) for n in range(3)]
    case.wait_until_placing()
    ends = {d.name: 0 for d in daemons}
    peak = {d.name: 0 for d in daemons}
    stop = threading.Event()

    def watch(daemon):
        """The platform: a process that exceeds its memory is killed, and started again."""
        while not stop.is_set():
            time.sleep(0.005)
            used = resident_bytes(daemon.process.pid)
            peak[daemon.name] = max(peak[daemon.name], used)
            if used > MEMORY_BYTES:
                case.record.add("daemon %s takes %d bytes, over the %d of its machine" % (
                    daemon.name, used, MEMORY_BYTES))
                daemon.kill()
                ends[daemon.name] += 1
                time.sleep(RESTART_S)
                if not stop.is_set():
                    daemon.start()

    for daemon in daemons:
        threading.Thread(target=watch, args=(daemon,), daemon=True).start()

    schedule = {"spec": "300", "steps": [{"count": 1, "cpu": 1000, "memMb": 500, "gpu": 1, "estRuntimeMs": 300}],
                "intervalMs": 3000, "repeatCount": OCCURRENCES}
    case.record.add("each job on /score/: %s" % schedule)
    accepted, began = 0, time.monotonic()
    for n in range(JOBS):
        if time.monotonic() - began > JOBS / JOBS_PER_S + 5:
            break
        path = "/score/%016x" % (0x5c0 + n)
        for attempt in range(3):
            try:
                status, _ = ask(daemons[(n + attempt) % 3].front, "POST", path, schedule, "key-north", timeout=1)
            except OSError:
                status = 0
            if status == 200:
                accepted += 1
                case.record.add("POST %s: 200" % path)
                break
        time.sleep(max(0.0, began + (n + 1) / JOBS_PER_S - time.monotonic()))
    case.record.add("%d jobs of %d occurrences accepted" % (accepted, OCCURRENCES))
    time.sleep(3)

    # A job of another tenant, within its guarantee.
    job, status = "%016x" % 0xa11ce, 0
    for attempt in range(8):
        status, _ = case.ask(daemons[attempt % 3], "POST", "/roster/" + job, {"spec": "1000", "steps": [
            {"count": 2, "cpu": 4000, "memMb": 4000, "gpu": 1, "gang": True, "estRuntimeMs": 1000}]},
                             key="key-south", timeout=1)
        if status == 200:
            break
        time.sleep(0.5)
    waits_since, longest, used_most = None, 0.0, 0
    end = time.monotonic() + LOOK_S
    while status == 200 and time.monotonic() < end:
        time.sleep(0.02)
        used, runs, done = 0, 0, 0
        for worker in case.workers:
            with worker.cond:
                used += len(worker.running)
                runs += sum(1 for k in worker.running if k[0].startswith(job))
                done += sum(1 for e in worker.history if e[0].startswith(job))
        if runs or done:
            break
        # Each run takes one accelerator: there is room for the job twice over while less than half is used.
        if used * 2 >= GPUS:
            waits_since = None
            continue
        waits_since = waits_since or time.monotonic()
        used_most = max(used_most, used)
        longest = max(longest, time.monotonic() - waits_since)
    stop.set()
    for name in ends:
        case.record.add("daemon %s: peak %d bytes, ended %d times for its memory" % (name, peak[name], ends[name]))
    case.record.add("job %s: POST answered %d, waited %.1f s beside idle workers" % (job, status, longest))
    broken = []
    if status == 200 and longest > IDLE_S:
        broken.append("LOST: the accepted job %s has nothing running for %.1f s, though at most %d of %d "
                      "accelerators are in use; ends for memory: %s" % (job, longest, used_most, GPUS, ends))
    if sum(1 for n in ends.values() if n >= ENDS_MAX) >= MACHINES_MIN:
        broken.append("Fault: processes end for their memory without a disturbance there: %s" % ends)
    return broken


run(FOLDER, play)
