"""Workers crash one after the other under a job that has never failed."""

import os
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
from standin3 import TROUBLE, config, route, run

WORKERS = 14
# Seconds from a start to the crash of its worker.
CRASH_AFTER_S = [2.0, 3.0, 4.0]
DOWN_S = 4.5
JOB = "00000000000c0de1"


def play(case):
    case.store.put("op/config", config(1, [route("q-render", "etch", "/render/", attempts=4)],
                                       [{"name": "t1", "apiKeys": ["key-1"], "guaranteed": {"gpu": 0}}]))
    for n in range(WORKERS):
        case.worker("w%d" % n, "etch", rack="r%d" % (n // 8))
    daemons = [case.daemon("front-%d" % n) for n in range(2)]
    case.wait_until_placing()
    crashes = []

    def started(worker, task, number):
        if not TROUBLE or len(crashes) >= len(CRASH_AFTER_S):
            return
        delay = CRASH_AFTER_S[len(crashes)]
        crashes.append(worker)

        def crash():
            time.sleep(delay)
            worker.crash()
            time.sleep(DOWN_S)
            worker.boot()
        threading.Thread(target=crash, daemon=True).start()

    for worker in case.workers:
        worker.on_start = started
    case.submit(daemons[0], "/render/" + JOB, {"spec": "7500", "steps": [
        {"count": 1, "cpu": 26000, "memMb": 4000, "gpu": 1, "estRuntimeMs": 7500}]}, key="key-1")
    end = time.monotonic() + 60
    state = None
    while time.monotonic() < end and state not in ("completed", "failed", "cancelled"):
        time.sleep(1)
        status, reply = case.ask(daemons[1], "GET", "/render/" + JOB, key="key-1")
        state = reply.get("state") if status == 200 else state
    if state == "failed":
        return ["LOST: job %s is shown as failed, though none of its runs has ended failed; "
                "its workers crashed %d times" % (JOB, len(crashes))]
    if state is None:
        return ["LOST: job %s isn't known" % JOB]
    return []


run(FOLDER, play)
