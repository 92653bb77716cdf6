"""Consumers of two queues choose the same identifier for their jobs."""

import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
from standin3 import TROUBLE, config, route, run

ID = "20261207000000a1"
OTHER_ID = "20261207000000b2"


def play(case):
    case.store.put("op/config", config(
        1, [route("q-roster", "etch", "/roster/"), route("q-score", "score", "/score/")],
        [{"name": "north", "apiKeys": ["key-north"], "guaranteed": {"gpu": 0}},
         {"name": "south", "apiKeys": ["key-south"], "guaranteed": {"gpu": 0}}]))
    for n in range(4):
        case.worker("etch%d" % n, "etch")
        case.worker("score%d" % n, "score")
    daemons = [case.daemon("front-%d" % n) for n in range(2)]
    case.wait_until_placing()
    body = {"spec": "1000", "steps": [{"count": 1, "cpu": 4000, "memMb": 1000, "gpu": 1, "estRuntimeMs": 1000}]}
    # Each consumer has a queue of its own; in the first pair both are of one tenant.
    pairs = [("/roster/", "key-north", ID, "/score/", "key-north", ID if TROUBLE else OTHER_ID),
             ("/roster/", "key-north", ID[:-2] + "c3", "/score/", "key-south",
              ID[:-2] + "c3" if TROUBLE else ID[:-2] + "d4")]
    broken = []
    for first, first_key, first_id, second, second_key, second_id in pairs:
        starts = []
        for worker in case.workers:
            worker.on_start = lambda worker, task, number: starts.append((worker.service, task))
        case.submit(daemons[0], first + first_id, body, key=first_key)
        status, _ = case.submit(daemons[1], second + second_id, body, key=second_key)
        if status // 100 != 2:
            case.record.add("the second job was not accepted, which is no promise: %d" % status)
            continue
        # finish_s of the pages is 14.
        time.sleep(14)
        status, reply = case.ask(daemons[1], "GET", second + second_id, key=second_key)
        ran = [task for service, task in starts if service == "score" and task.startswith(second_id)]
        if not ran:
            broken.append("LOST: %s%s was accepted and no worker of its service ever got its task; "
                          "GET says %d %s" % (second, second_id, status, reply))
    return broken


run(FOLDER, play)
