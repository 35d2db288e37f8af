"""Guards against a task that runs twice after a restart of its executor.

The executor restarts under its id. A repeated start reaches it before its agent
knows of the restart; the run works there while the task is placed again.
"""

import asyncio

from case import (JOB_INTERVAL_S, TASKS, TROUBLE, conclude, run_case,
                  send_jobs, start_deployment)
from checks import find_parallel_runs, split

LENGTH_S = 40.0
CRASH_INTERVAL_S = 5.0
CRASHES = int(LENGTH_S / CRASH_INTERVAL_S) - 1
DOWN_S = 1.0
# A poll that comes before the starts hides the case. So the restart comes just
# before the next job; and as agents poll at fixed intervals after a crash, the
# crashes are shifted against the jobs.
LEAD_S = 0.02
SHIFT_S = 0.03
# A restarted executor serves calls first and registers a moment later, well
# within HeartbeatMs.
FIRST_HEARTBEAT_S = 0.3
# Restarts that an early start has to reach, for the case to count.
MIN_REACHED = 3


async def wait_for_job(system):
    """Wait until the next job is sent."""
    began = len(system.record.events)
    while not any(kind == "send" and text.startswith("POST ")
                  for _, kind, text in system.record.events[began:]):
        await asyncio.sleep(0.01)


async def crash_executors(system, executors):
    for i in range(CRASHES):
        await asyncio.sleep(CRASH_INTERVAL_S - DOWN_S + i * SHIFT_S)
        executor = executors[i % len(executors)]
        executor.crash()
        await asyncio.sleep(DOWN_S - 1.5 * JOB_INTERVAL_S)
        await wait_for_job(system)
        await asyncio.sleep(JOB_INTERVAL_S - LEAD_S)
        await executor.start(FIRST_HEARTBEAT_S)


def find_early_starts(events):
    """Return the restarted incarnations that a start reached early.

    These are starts before the first heartbeat, when no agent can know of the
    restart.
    """
    crashed = set()
    up_s = {}
    reached = set()
    for at_s, kind, text in events:
        if kind == "crash":
            crashed.add(text)
        elif kind == "up" and text.split(" ")[0] in crashed:
            up_s[text] = at_s
        elif kind == "start":
            incarnation = f"{split(text)[2]} {text.split(' ')[4]}"
            if at_s - up_s.get(incarnation, -1e9) < FIRST_HEARTBEAT_S:
                reached.add(incarnation)
    return reached


async def play(system):
    executors = await start_deployment(system)
    if executors is None:
        return 2
    sending = asyncio.create_task(
        send_jobs(system, int(LENGTH_S / JOB_INTERVAL_S), 2 * TASKS))
    if TROUBLE:
        await crash_executors(system, executors)
    await sending
    await asyncio.sleep(5.0)
    reached = find_early_starts(system.record.events)
    print(f"{len(reached)} of {CRASHES} restarted executors got a start "
          "before their first heartbeat")
    missed = [] if len(reached) >= MIN_REACHED else [
        f"fewer than {MIN_REACHED} restarted executors got an early start"]
    return conclude(system, "TWICE",
                    find_parallel_runs(system.record.events), missed)


if __name__ == "__main__":
    run_case(play)
