"""The agent of an executor that leaves starts unanswered is restarted."""

import asyncio
import json
import os
import signal

from checks import find_idle_jobs
from executor import Executor
from system import run_scenario

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
NODES = 11
WORK_S = 1.0
JOB = {"Spec": "text", "Phases": [
    {"Count": 11, "Cpu": 240, "MemMb": 480, "EstimatedMs": 1000}]}
JOB_INTERVAL_S = 0.4
JOBS = 40
FINISH_S = 14.0
IDLE_S = 3.0


async def send_jobs(system):
    """Hand the jobs in and return the ids of those that were accepted."""
    pending = {}
    for i in range(JOBS):
        job = f"{i + 1:016x}"
        pending[job] = asyncio.create_task(system.submit(i, job, JOB))
        await asyncio.sleep(JOB_INTERVAL_S)
    return [job for job, task in pending.items() if await task]


async def disturb(system, node, executor):
    await asyncio.sleep(4.0)
    executor.hang(True)
    await asyncio.sleep(1.2)
    node.signal(signal.SIGKILL)
    node.child.wait()
    await asyncio.sleep(0.5)
    node.start()
    await asyncio.sleep(1.3)
    executor.hang(False)


async def get_unfinished(system, jobs):
    unfinished = []
    for job in jobs:
        status, answer = await system.client(0, "GET", job)
        if status != 200 or json.loads(answer)["State"] != "completed":
            unfinished.append(job)
    return unfinished


async def play(system):
    await system.start_store()
    for i in range(2):
        system.start_scheduler(f"frontend-{i}")
    executors = []
    for i in range(NODES):
        node = system.start_node(f"side-{i}")
        executors.append(Executor(f"i-{i}", node.control, system.record,
                                  lambda task, run: (WORK_S, "done")))
        await executors[i].start()
    if not await system.wait_ready():
        return 2
    await asyncio.sleep(2.0)
    sending = asyncio.create_task(send_jobs(system))
    if TROUBLE:
        await disturb(system, system.nodes[0], executors[0])
    accepted = await sending
    await asyncio.sleep(FINISH_S + IDLE_S)
    now_s = system.record.now_s()
    unfinished = await get_unfinished(system, accepted)
    idle = find_idle_jobs(system.record.events, unfinished, now_s - IDLE_S)
    for job in idle:
        line = f"{now_s:.3f} s: {job} has had no running task for {IDLE_S} s"
        system.record("LOST", line)
        print("LOST:", line)
    return 1 if idle else 0


if __name__ == "__main__":
    run_scenario(os.path.dirname(os.path.abspath(__file__)), play)
