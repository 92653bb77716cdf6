"""A rack of workers restarts under the same identifiers, and the placer dies after its next start."""

import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
from standin3 import TROUBLE, config, route, run

RACKS, RACK = 4, 8
DOWN_S = 0.5
TRIES = 5


def play(case):
    record = case.record
    case.store.put("op/config", config(1, [route("q-render", "etch", "/render/")],
                                       [{"name": "t1", "apiKeys": ["key-1"], "guaranteed": {"gpu": 0}}]))
    for n in range(RACKS * RACK):
        case.worker("w%d" % n, "etch", rack="r%d" % (n // RACK))
    daemons = [case.daemon("front-%d" % n) for n in range(3)]
    case.wait_until_placing()
    runs = []  # [task, run, worker, life, begin, end]
    broken = []

    for attempt in range(TRIES):
        time.sleep(3)
        leader = case.leader()
        rack = case.workers[attempt % RACKS * RACK:][:RACK]
        job = "%016x" % (0xabc0 + attempt)
        starts = []

        def started(worker, task, number):
            starts.append((time.monotonic(), worker, worker.lives, task, number))
            if TROUBLE and len(starts) == 1:
                leader.kill()

        for worker in case.workers:
            worker.on_start = started
        if TROUBLE:
            for worker in rack:
                worker.crash()
            time.sleep(DOWN_S)
            for worker in rack:
                worker.boot(same_id=True)
        other = [d for d in daemons if d is not leader][0]
        case.submit(other, "/render/" + job, {"spec": "9000", "steps": [
            {"count": 1, "cpu": 26000, "memMb": 4000, "gpu": 8, "estRuntimeMs": 9000,
             "affinity": rack[0].rack}]}, key="key-1")
        case.wait("a start", lambda: starts, 5)
        end = time.monotonic() + 9
        while time.monotonic() < end:
            time.sleep(0.002)
            where = []
            for worker in case.workers:
                with worker.cond:
                    if worker.up:
                        where += [(worker.name, k) for k in worker.running if k[0].startswith(job)]
            if len(where) > 1:
                text = " and ".join("%s run %d on %s" % (k[0], k[1], w) for w, k in where)
                broken.append("TWICE: at the same time %s" % text)
                return broken
        for worker in case.workers:
            worker.on_start = lambda *_: None
        if leader.process.poll() is not None:
            leader.start()
            case.wait("readiness", leader.is_ready, 10)
    return broken


run(FOLDER, play)
