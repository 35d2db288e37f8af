"""Guards against a task that runs twice after a restart of its executor.

The executor restarts under its id. A repeated start would reach it before its
agent knows of the restart, and the run work there while the task is placed
again.
"""

import asyncio
import json

from case import (JOB_INTERVAL_S, TASKS, TROUBLE, conclude, run_case,
                  send_jobs, start_deployment)
from checks import find_parallel_runs

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
# Restarts that a start for the incarnation before has to meet, for the case to
# count.
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


def find_misdirected_starts(system):
    """Return the restarted incarnations that met a start for the one before.

    An agent logs 8012 (order-misdirected) with the incarnation that the start
    was meant for, which has restarted since. Agents send no start to a later
    incarnation, so that none of these is carried out.
    """
    lines = [json.loads(line) for process in system.nodes
             for line in process.read_log().splitlines()
             if '"event":8012,' in line]
    return {line["executor"] for line in lines if line["call"] == "start"}


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
    reached = find_misdirected_starts(system)
    print(f"{len(reached)} of {CRASHES} restarted executors met a start for "
          "the incarnation before")
    missed = [] if len(reached) >= MIN_REACHED else [
        f"fewer than {MIN_REACHED} restarted executors met a start"]
    return conclude(system, "TWICE",
                    find_parallel_runs(system.record.events), missed)


if __name__ == "__main__":
    run_case(play)
