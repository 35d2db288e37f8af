"""A start is carried out late, after its agent was restarted meanwhile."""

import asyncio
import os
import signal

from checks import find_parallel_runs, find_repeated_runs
from executor import Executor
from system import run_scenario

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
NODES = 11
WORK_S = 1.0
JOB = {"Spec": "text", "Phases": [
    {"Count": 11, "Cpu": 240, "MemMb": 480, "EstimatedMs": 1000}]}
JOB_INTERVAL_S = 0.4
JOBS = 70
ROUNDS = 3
LATE_S = 4.0
KILL_AFTER_S = 0.1
DOWN_S = 0.5


async def send_jobs(system):
    pending = []
    for i in range(JOBS):
        pending.append(asyncio.create_task(
            system.submit(i, f"{i + 1:016x}", JOB)))
        await asyncio.sleep(JOB_INTERVAL_S)
    await asyncio.gather(*pending)


async def disturb(node, executor):
    await executor.delay_next_start(LATE_S)
    await asyncio.sleep(KILL_AFTER_S)
    node.signal(signal.SIGKILL)
    node.child.wait()
    leaving = asyncio.create_task(executor.drain(5.0, LATE_S + 4.0))
    await asyncio.sleep(DOWN_S)
    node.start()
    await leaving


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
    for i in range(ROUNDS if TROUBLE else 0):
        await asyncio.sleep(1.0)
        await disturb(system.nodes[i], executors[i])
    await sending
    await asyncio.sleep(5.0)
    found = (find_parallel_runs(system.record.events) +
             find_repeated_runs(system.record.events))
    for line in found:
        system.record("TWICE", line)
        print("TWICE:", line)
    return 1 if found else 0


if __name__ == "__main__":
    run_scenario(os.path.dirname(os.path.abspath(__file__)), play)
