"""A job whose stages each wait for all steps of the stage before."""

import os
import sys
import time
from concurrent import futures

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
sys.dont_write_bytecode = True
import standin  # noqa: E402

STAGES, WIDTH, STEP_MS = 16, 4, 150
ORDINARY = {"spec": "ms=1500", "steps": [standin.step(3, 1500)]}


def staged_job(barrier):
    """Returns a job of 16 stages of 4 steps. With `barrier`, a step waits for all four steps of the stage
    before, else for the one step in its own lane."""
    steps = []
    for n in range(STAGES * WIDTH):
        stage, lane = divmod(n, WIDTH)
        before = (stage - 1) * WIDTH
        after = list(range(before, before + WIDTH)) if barrier else [before + lane]
        steps.append(standin.step(1, STEP_MS, after if stage else None))
    return {"spec": f"ms={STEP_MS}", "steps": steps}


def case(fleet, trouble):
    jobs = ["%016x" % (0xA000 + n) for n in range(4)]
    if fleet.submit(0, jobs[0], ORDINARY) != 200:
        raise standin.CouldNotRun("the first job was not accepted")
    if fleet.wait_state(1, jobs[0], ("completed",), 10) != "completed":
        raise standin.CouldNotRun("the first job did not complete")
    accepted = [jobs[0]]
    if fleet.submit(0, jobs[1], staged_job(trouble)) != 200:
        raise standin.CouldNotRun("the staged job was not accepted")
    accepted.append(jobs[1])
    for n in (2, 3):
        if fleet.submit(n % 3, jobs[n], ORDINARY) == 200:
            accepted.append(jobs[n])
    # The traffic ends here. RULES.md: jobs are asked for finish_s after its end.
    time.sleep(standin.FINISH_S)
    broken = []
    for job in accepted:
        states = ask(fleet, job)
        if any(s is None or isinstance(s, tuple) for s in states):
            broken.append(f"LOST: accepted job {job} isn't known or gets no answer in time: {states}")
        elif states != ["completed"] * 3:
            idle = 0.0
            while not any(t.startswith(job) for _, t, _ in fleet.running()) and idle < 3.0:
                time.sleep(0.05)
                idle += 0.05
            if idle >= 3.0:
                broken.append(f"LOST: accepted job {job} has nothing running for 3 s on idle workers")
    if broken:
        restart(fleet, accepted)
    return broken


def ask(fleet, job):
    """Asks all daemons for the state of a job at the same time."""
    with futures.ThreadPoolExecutor(3) as pool:
        return list(pool.map(lambda n: fleet.state(n, job), range(3)))


def restart(fleet, accepted):
    """Shows, for the record only, whether new processes serve the accepted jobs."""
    for daemon in fleet.daemons:
        fleet.record(f"daemon {daemon.name}: ended {daemon.ended()}, ready {daemon.is_ready()}")
        daemon.kill()
        daemon.start()
    time.sleep(10)
    for job in accepted:
        fleet.record(f"10 s after a restart of all daemons, {job}: {ask(fleet, job)}")


standin.run(HERE, case)
