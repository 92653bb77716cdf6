"""A gang that belongs on one rack of a nearly idle service, while another service is busy."""

import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
sys.dont_write_bytecode = True
import standin  # noqa: E402

# Service `review` has three racks of four workers, service `dispatch` twelve workers.
RACKS, RACK_WORKERS, BUSY_WORKERS = 3, 4, 12
ROUTES = [standin.route("review", "/review/", service="review"), standin.route("replay", "/replay/")]
GANG_TASKS = 3
LONG_MS = 100_000
GANG = f"{0xE000:016x}"


def place(number):
    """Returns the service and the rack of a worker."""
    if number < RACKS * RACK_WORKERS:
        return "review", f"r2-{number // RACK_WORKERS}"
    return "dispatch", f"r1-{number // 8}"


def used(fleet, service):
    """Returns the accelerators in use on each worker of a service."""
    found = {w.id: 0 for w in fleet.workers if w.service == service}
    for worker, task, _ in fleet.running():
        if worker.service == service:
            found[worker.id] += fleet.gpus[task.split(".")[0]]
    return found


def submit(fleet, job, steps, prefix):
    fleet.gpus[job] = steps[0]["gpu"]
    body = {"spec": f"ms={steps[0]['estRuntimeMs']}", "steps": steps}
    if fleet.submit(0, job, body, prefix) != 200:
        raise standin.CouldNotRun(f"job {job} was not accepted")


def wait_used(fleet, service, total):
    end = time.monotonic() + 15
    while sum(used(fleet, service).values()) < total:
        if time.monotonic() > end:
            raise standin.CouldNotRun(f"the runs on {service} did not start")
        time.sleep(0.1)


def case(fleet, trouble):
    fleet.gpus = {}
    # Two workers of each rack of `review` have a run on one of their 8 accelerators.
    for rack in range(RACKS):
        step = {**standin.step(2, LONG_MS), "maxPerServer": 1, "affinity": f"r2-{rack}"}
        submit(fleet, f"{0xE100 + rack:016x}", [step], "/review/")
    wait_used(fleet, "review", 2 * RACKS)
    if trouble:
        # Large jobs come to the other service and take all of its workers.
        for n in range(BUSY_WORKERS):
            submit(fleet, f"{0xE200 + n:016x}", [standin.step(1, LONG_MS, gpu=8)], "/replay/")
        wait_used(fleet, "dispatch", 8 * BUSY_WORKERS)
    gang = {**standin.step(GANG_TASKS, 2000, gang=True, gpu=8), "sameRack": True}
    submit(fleet, GANG, [gang], "/review/")
    # The traffic ends here. RULES.md: jobs are asked for finish_s after its end.
    time.sleep(standin.FINISH_S)
    in_use = used(fleet, "review")
    whole = sum(gpus == 0 for gpus in in_use.values())
    share = sum(in_use.values()) / (8 * len(in_use))
    started = [s for s in fleet.starts() if s[0].startswith(GANG)]
    for _ in range(60):
        time.sleep(0.5)
        started = [s for s in fleet.starts() if s[0].startswith(GANG)]
        if started:
            break
    state = fleet.state(1, GANG, "/review/")
    fleet.record(f"the gang is {state}; {whole} workers of its service without runs, {share:.0%} of its "
                 f"accelerators in use; starts {started}")
    if not started and whole >= 2 * GANG_TASKS and share < 0.5:
        return [f"LOST: job {GANG}, which has {GANG_TASKS} tasks, is {state} and has nothing running "
                f"{standin.FINISH_S + 30:.0f} s after the end of the traffic, with room for {whole} such tasks "
                f"and {share:.0%} of its service in use"]
    if not started:
        raise standin.CouldNotRun("the gang has no room")
    return []


standin.run(HERE, case, routes=ROUTES, place=place, workers=RACKS * RACK_WORKERS + BUSY_WORKERS)
