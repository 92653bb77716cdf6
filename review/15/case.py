"""A key is taken away, and its holder goes on using it on a queue that needs none."""

import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
from standin3 import BOUNDS, TROUBLE, config, route, run


def play(case):
    routes = [route("q-roster", "etch", "/roster/"), route("q-open", "etch", "/open/", allowAnonymous=True)]
    tenants = lambda keys: [{"name": "north", "apiKeys": keys, "guaranteed": {"gpu": 0}},
                            {"name": "south", "apiKeys": ["key-south"], "guaranteed": {"gpu": 0}}]
    case.store.put("op/config", config(1, routes, tenants(["key-north", "key-north-2"])))
    for n in range(8):
        case.worker("w%d" % n, "etch")
    daemons = [case.daemon("front-%d" % n) for n in range(2)]
    case.wait_until_placing()
    starts = []
    for worker in case.workers:
        worker.on_start = lambda worker, task, number: starts.append(task)
    body = lambda ms: {"spec": str(ms), "steps": [{"count": 1, "cpu": 4000, "memMb": 1000, "gpu": 1, "estRuntimeMs": ms}]}
    # South's job, on a queue that needs a key.
    south = "20261207000000e5"
    case.submit(daemons[0], "/roster/" + south, body(40000), key="key-south")
    if TROUBLE:
        case.store.put("op/config", config(2, routes, tenants(["key-north-2"])))
        case.record.add("the store confirms version 2, without key-north")
    time.sleep(BOUNDS["revokeMs"] / 1000 + 2)
    broken = []
    for n, daemon in enumerate(daemons):
        job = "20261207000000f%d" % n
        keyed, _ = case.ask(daemon, "GET", "/roster/", key="key-north")
        status, _ = case.ask(daemon, "POST", "/open/" + job, body(500), key="key-north")
        time.sleep(1)
        if TROUBLE and status == 200:
            broken.append("CONFIG: %s answered 200 to a POST with key-north, 7 s after the config without it; "
                          "the task %s (with the same key, the other queue says %d)" % (
                              daemon.name, "ran" if any(t.startswith(job) for t in starts) else "did not run", keyed))
    if TROUBLE:
        for method in ("GET", "DELETE"):
            status, _ = case.ask(daemons[1], method, "/open/" + south, key="key-north")
            if status == 200:
                broken.append("CONFIG: a %s of south's job with key-north was answered 200" % method)
        time.sleep(2)
    status, reply = case.ask(daemons[0], "GET", "/roster/" + south, key="key-south")
    if status == 200 and reply.get("state") == "cancelled":
        broken.append("LOST: south's job is shown as cancelled")
    return broken


run(FOLDER, play)
