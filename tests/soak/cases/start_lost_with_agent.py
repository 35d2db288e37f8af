"""Guards against jobs that never run as their start was lost with its agent.

An executor leaves starts without an answer and an effect; its agent is killed
and starts again.
"""

import asyncio
import json
import signal

from case import (IDLE_S, TROUBLE, conclude, run_case, send_jobs,
                  start_deployment)
from checks import find_idle_jobs, split

JOBS = 40
FINISH_S = 14.0


async def disturb(node, executor):
    await asyncio.sleep(4.0)
    executor.hang(True)
    await asyncio.sleep(1.2)
    node.signal(signal.SIGKILL)
    node.child.wait()
    await asyncio.sleep(0.5)
    node.start()
    await asyncio.sleep(1.3)
    executor.hang(False)


def find_lost_starts(events):
    """Return the starts that were lost before the agent was killed."""
    lost = set()
    for _, kind, text in events:
        if kind == "signal":
            return lost
        if kind == "lost":
            lost.add(split(text)[:2])
    return set()


async def get_unfinished(system, jobs):
    unfinished = []
    for job in jobs:
        status, answer = await system.client(0, "GET", job)
        if status != 200 or json.loads(answer)["State"] != "completed":
            unfinished.append(job)
    return unfinished


async def play(system):
    executors = await start_deployment(system)
    if executors is None:
        return 2
    sending = asyncio.create_task(send_jobs(system, JOBS))
    if TROUBLE:
        await disturb(system.nodes[0], executors[0])
    accepted = await sending
    await asyncio.sleep(FINISH_S + IDLE_S)
    now_s = system.record.now_s()
    unfinished = await get_unfinished(system, accepted)
    idle = find_idle_jobs(system.record.events, unfinished, now_s - IDLE_S)
    lost = find_lost_starts(system.record.events)
    print(f"{len(lost)} starts were lost before the agent was killed; "
          f"{len(accepted)} of {JOBS} jobs were accepted, {len(unfinished)} "
          "of them did not complete")
    missed = [] if lost else ["no start was lost before the agent was killed"]
    if len(accepted) < JOBS:
        missed.append("not all jobs were accepted")
    return conclude(system, "LOST", [
        f"{now_s:.3f} s: {job} has had no running task for {IDLE_S} s"
        for job in idle], missed)


if __name__ == "__main__":
    run_case(play)
