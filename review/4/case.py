"""Jobs whose worker crashes three times: one that ends by itself, and one that runs until it is cancelled."""

import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
sys.dont_write_bytecode = True
import standin  # noqa: E402

# One of 8 workers, for 2 s: a share of 0.125, less than the 0.15 of `srv_crash`.
DOWN_S = 2.0
TASK_MS = 6000
ATTEMPTS = 4
# A crash comes when the task has run for this long.
AGES_S = (2.5, 3.0, 3.5)
ENDING, LASTING = f"{0xC000:016x}", f"{0xC001:016x}"


def find_run(fleet, job):
    """Returns the worker, the task and the run of a job's task, or None if nothing of it runs."""
    return next(((w, t, r) for w, t, r in fleet.running() if t.startswith(job)), None)


def wait_run(fleet, job, limit):
    """Waits until the job's task runs, or the job is over, in which case it returns None."""
    end = time.monotonic() + limit
    while time.monotonic() < end:
        found = find_run(fleet, job)
        if found or fleet.state(0, job) in ("failed", "completed"):
            return found
        time.sleep(0.1)
    raise standin.CouldNotRun(f"the task of {job} did not start")


def crash_workers(fleet, job):
    """Crashes the worker of the job's task three times, and starts it again each time."""
    for age in AGES_S:
        found = wait_run(fleet, job, 15)
        if not found:
            return
        time.sleep(age)
        worker, task, run = found
        if (task, run) in worker.running:
            worker.crash()
            time.sleep(DOWN_S)
            worker.boot()


def count_failed(fleet, job):
    """Counts the ends `failed` of the job's runs that workers have listed."""
    ends = [e for w in fleet.workers for e in w.all_ends]
    return sum(task.startswith(job) and how == "failed" for _, task, _, how, _ in ends)


def case(fleet, trouble):
    broken = []
    ending = {"spec": f"ms={TASK_MS}", "steps": [standin.step(1, TASK_MS)]}
    if fleet.submit(0, ENDING, ending) != 200:
        raise standin.CouldNotRun("the job was not accepted")
    if trouble:
        crash_workers(fleet, ENDING)
    state, failed = fleet.wait_state(1, ENDING, ("failed", "completed"), 30), count_failed(fleet, ENDING)
    fleet.record(f"{ENDING} is {state} after {failed} ends `failed`")
    if state == "failed" and failed < ATTEMPTS:
        broken.append(f"LOST: job {ENDING} is shown as failed after {failed} ends `failed`; its queue has "
                      f"{ATTEMPTS} attempts")
    elif state != "completed":
        raise standin.CouldNotRun(f"the job is {state}")

    lasting = {"spec": "lasts", "steps": [{**standin.step(1, 1000), "longRunning": True}]}
    if fleet.submit(0, LASTING, lasting) != 200:
        raise standin.CouldNotRun("the lasting job was not accepted")
    if trouble:
        crash_workers(fleet, LASTING)
    # RULES.md: a task that lasts has to run again 6 s after its last run, and 3 s of tolerance.
    time.sleep(9)
    state, runs = fleet.state(1, LASTING), find_run(fleet, LASTING)
    fleet.record(f"{LASTING} is {state}; running: {runs is not None}")
    if state == "failed" or not runs:
        broken.append(f"LOST: job {LASTING}, which nobody has cancelled, is shown as {state} and has nothing "
                      f"running {'' if runs else '9 s after its last run '}on idle workers")
    return broken


standin.run(HERE, case)
