"""Executors crash and start again under the id that they had."""

import asyncio
import os

from checks import find_parallel_runs
from executor import Executor
from system import run_scenario

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
NODES = 11
WORK_S = 1.0
JOB = {"Spec": "text", "Phases": [
    {"Count": 11, "Cpu": 240, "MemMb": 480, "EstimatedMs": 1000}]}
JOB_INTERVAL_S = 0.4
LENGTH_S = 40.0
CRASH_INTERVAL_S = 5.0
DOWN_S = 1.0
# A restarted executor serves calls first and registers a moment later, well
# within HeartbeatMs.
FIRST_HEARTBEAT_S = 0.3


async def send_jobs(system):
    count = 0
    end_s = asyncio.get_running_loop().time() + LENGTH_S
    pending = []
    while asyncio.get_running_loop().time() < end_s:
        count += 1
        pending.append(asyncio.create_task(
            system.submit(count, f"{count:016x}", JOB)))
        await asyncio.sleep(JOB_INTERVAL_S)
    await asyncio.gather(*pending)


async def crash_executors(executors):
    for i in range(int(LENGTH_S / CRASH_INTERVAL_S) - 1):
        await asyncio.sleep(CRASH_INTERVAL_S - DOWN_S)
        executor = executors[i % len(executors)]
        executor.crash()
        await asyncio.sleep(DOWN_S)
        await executor.start(FIRST_HEARTBEAT_S)


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
        await crash_executors(executors)
    await sending
    await asyncio.sleep(5.0)
    found = find_parallel_runs(system.record.events)
    for line in found:
        system.record("TWICE", line)
        print("TWICE:", line)
    return 1 if found else 0


if __name__ == "__main__":
    run_scenario(os.path.dirname(os.path.abspath(__file__)), play)
