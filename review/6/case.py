"""Ends that don't fit into one answer of a worker, while the store is down."""

import asyncio
import os
import random
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.dirname(
    os.path.abspath(__file__))), "standins-2"))

from cell import TROUBLE, run  # noqa: E402
from twice import find_starts_after_done  # noqa: E402

JOB = "00000000000000b1"
WORKERS = 2
TASKS = 1400
TASK_CPU = 40
SHORTEST_S = 9.0
LONGEST_S = 14.0
DOWN_AFTER_S = 9.3   # from the first start
DOWN_S = 4.2         # at most 4.5 s, and 4.2 s with 503
LIMIT_S = 70.0

RANDOM = random.Random(1)
LENGTHS = {}


def work(task, number):
    if task not in LENGTHS:
        LENGTHS[task] = RANDOM.uniform(SHORTEST_S, LONGEST_S)
    return LENGTHS[task], "done"


async def play(cell):
    await cell.start(schedulers=2, executors=WORKERS, work=work, cpu=32000,
                     mem=125000)
    body = {"Spec": "pages", "Phases": [{
        "Count": TASKS, "Cpu": TASK_CPU, "MemMb": 128, "EstimatedMs": 12000}]}
    if not await cell.system.submit(0, JOB, body):
        raise RuntimeError("the job was not accepted")
    await cell.wait(lambda: cell.count_running(JOB) > 0, 5, "a task runs")
    began_s = cell.record.now_s()
    await cell.wait(lambda: cell.count_running(JOB) == TASKS, 7,
                    "all tasks run")
    await asyncio.sleep(max(0, began_s + DOWN_AFTER_S - cell.record.now_s()))
    if TROUBLE:
        cell.record("store", "down: answers 503")
        cell.take_store_down(True)
        await asyncio.sleep(DOWN_S)
        cell.take_store_down(False)
        cell.record("store", "back")
    state = ""
    while '"completed"' not in state and cell.record.now_s() < LIMIT_S:
        await asyncio.sleep(1)
        _, state = await cell.get_state(JOB)
    await asyncio.sleep(3)
    twice = find_starts_after_done(cell.record.events)
    for line in twice[:5]:
        cell.record("twice", line)
    cell.record("result", f"state {state}; {len(twice)} starts after a run of "
                          "the task had ended as done, and this end was taken "
                          "note of later")
    return 1 if twice else 0


run(sys.argv[1], play)
