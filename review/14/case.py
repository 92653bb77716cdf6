"""A worker comes back as another kind under its identifier, while the store is slow."""

import os
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
from standin3 import TROUBLE, config, route, run

OTHERS = 14
# 82 times the usual 4 ms, and for how long.
SLOW_S, SLOW_FOR_S = 0.328, 3.0
DOWN_S = 0.2
TRIES = 10


def play(case):
    case.store.put("op/config", config(1, [route("q-render", "etch", "/render/")],
                                       [{"name": "t1", "apiKeys": ["key-1"], "guaranteed": {"gpu": 0}}]))
    for n in range(OTHERS):
        case.worker("w%d" % n, "etch", kind="b")
    special = case.worker("special", "etch", kind="a")
    daemons = [case.daemon("front-%d" % n) for n in range(2)]
    slow = threading.Event()
    # Begin of the life that an answered entry showed last, and when it was first answered.
    shown = {}

    def before(method, path, body):
        if slow.is_set():
            time.sleep(SLOW_S)

    def after(method, path, body, answer):
        if path != "/api/kv-range":
            return
        for item in answer[1]["items"]:
            if item["key"] == "servers/" + special.id and item["rev"] >= new_entry[0]:
                shown.setdefault(special.lives, time.monotonic())

    new_entry = [0]
    case.store.before, case.store.after = before, after
    case.wait_until_placing()
    broken = []
    for attempt in range(TRIES if TROUBLE else 2):
        time.sleep(2)
        starts = []
        special.on_start = lambda worker, task, number: starts.append((time.monotonic(), worker.kind, task, number))
        job = "%016x" % (0x1abe1 + attempt)

        def restart():
            # The new life registers about when the job is stored, a little earlier each time.
            time.sleep(max(0.0, 2 * SLOW_S - DOWN_S - 0.05 * (attempt % 5)))
            special.crash()
            time.sleep(DOWN_S)
            new_entry[0] = case.store.rev + 1
            special.boot(same_id=True, kind="b")

        if TROUBLE:
            case.record.add("the store is slow from now on, for %g s" % SLOW_FOR_S)
            slow.set()
            threading.Timer(SLOW_FOR_S, slow.clear).start()
            time.sleep(0.6)
            threading.Thread(target=restart, daemon=True).start()
        body = {"spec": "1000", "steps": [{"count": 1, "cpu": 4000, "memMb": 1000, "gpu": 1, "estRuntimeMs": 1000,
                                           "requiredLabel": "a"}]}
        case.ask(daemons[attempt % 2], "POST", "/render/" + job, body, key="key-1")
        time.sleep(4)
        for at, kind, task, number in starts:
            # It counts only if the placer had read the new entry and heard from this life before.
            listed, held = shown.get(special.lives, at), special.held or at
            case.record.add("%s run %d started on kind %s; entry of this life answered %.3f s and a hold %.3f s before" % (
                task, number, kind, at - listed, at - held))
            if kind != "a" and listed < at and held < at:
                broken.append("ROUTE: %s run %d, whose step requires the label a, started on a worker of kind %s; the store "
                              "had answered with its entry %.3f s before, and it had answered a hold %.3f s before" % (
                                  task, number, kind, at - listed, at - held))
        case.ask(daemons[0], "DELETE", "/render/" + job, key="key-1")
        if broken:
            break
        if TROUBLE:
            special.crash()
            new_entry[0] = case.store.rev + 1
            special.boot(kind="a")
    return broken


run(FOLDER, play)
