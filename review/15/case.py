"""An idle worker is lost for good, and a job is placed on it before its entry is gone."""

import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
from standin3 import BOUNDS, TROUBLE, config, route, run

WORKERS = 8
JOB = "00000000000d00d1"


def play(case):
    case.store.put("op/config", config(
        1, [route("q-render", "etch", "/render/"), route("q-score", "etch", "/score/")],
        [{"name": "t1", "apiKeys": ["key-1"], "guaranteed": {"gpu": 0}}]))
    for n in range(WORKERS):
        case.worker("w%d" % n, "etch")
    daemons = [case.daemon("front-%d" % n) for n in range(2)]
    case.wait_until_placing()
    # All workers but one are busy for the rest of the case.
    case.submit(daemons[0], "/score/00000000000b0051", {"spec": "60000", "steps": [
        {"count": WORKERS - 1, "cpu": 40000, "memMb": 4000, "gpu": 8, "estRuntimeMs": 60000}]}, key="key-1")
    case.wait("a run on each other worker", lambda: sum(len(w.running) for w in case.workers) == WORKERS - 1, 5)
    idle = [w for w in case.workers if not w.running][0]
    time.sleep(4)
    if TROUBLE:
        idle.crash()
        time.sleep(0.3)
    starts = []
    for worker in case.workers:
        worker.on_start = lambda worker, task, number: task.startswith(JOB) and starts.append(task)
    case.submit(daemons[0], "/render/" + JOB, {"spec": "2000", "steps": [
        {"count": 1, "cpu": 20000, "memMb": 4000, "gpu": 8, "estRuntimeMs": 2000}]}, key="key-1")
    accepted = time.monotonic()
    broken = []
    grace = (BOUNDS["visible_ms"] + 2000) / 1000 + 0.3
    while time.monotonic() < accepted + grace + 2 and not starts and not broken:
        time.sleep(0.5)
        age = time.monotonic() - accepted
        for daemon in daemons:
            status, reply = case.ask(daemon, "GET", "/render/", key="key-1")
            if age > grace and not starts and status == 200 and reply.get("pending", 0) * 2 < 1:
                broken.append("MIXED: %s gives %d jobs as pending, and job %s, accepted %.1f s before, "
                              "hasn't begun" % (daemon.name, reply["pending"], JOB, age))
    case.ask(daemons[1], "GET", "/render/" + JOB, key="key-1")
    return broken


run(FOLDER, play)
