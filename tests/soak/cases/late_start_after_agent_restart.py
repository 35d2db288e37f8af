"""Guards against a task that runs twice as its unanswered start comes late.

The agent that sent the start is killed, and the executor drains when the next
agent process gets the repeated order.
"""

import asyncio
import signal

from case import (TROUBLE, conclude, find_missed_steps, run_case, send_jobs,
                  start_deployment)
from checks import find_parallel_runs, find_repeated_runs

JOBS = 70
ROUNDS = 3
LATE_S = 4.0
KILL_AFTER_S = 0.1
DOWN_S = 0.5


async def disturb(system, node, executor):
    """Disturb one executor and its agent; return what was not exercised."""
    began = len(system.record.events)
    task = await executor.delay_next_start(LATE_S)
    await asyncio.sleep(KILL_AFTER_S)
    node.signal(signal.SIGKILL)
    node.child.wait()
    leaving = asyncio.create_task(executor.drain(5.0, LATE_S + 4.0))
    await asyncio.sleep(DOWN_S)
    node.start()
    await leaving
    missed = find_missed_steps(system.record.events[began:], [
        ("late", f"{task} ", "is left unanswered"),
        ("signal", node.name, "SIGKILL"),
        ("draining", executor.name, ""),
        ("process", node.name, "started"),
        ("late", f"{task} ", "carried out: "),
    ])
    if not is_order_repeated(system, task):
        missed.append(f"the start of {task} was not ordered again")
    return missed


def is_order_repeated(system, task):
    """Return whether a leader has logged 7021 (order-repeated) for a task."""
    return any('"event":7021,' in line and f'"task":"{task}"' in line
               for process in system.schedulers
               for line in process.read_log().splitlines())


async def play(system):
    executors = await start_deployment(system)
    if executors is None:
        return 2
    sending = asyncio.create_task(send_jobs(system, JOBS))
    missed = [] if TROUBLE else ["no agent was killed"]
    for i in range(ROUNDS if TROUBLE else 0):
        await asyncio.sleep(1.0)
        missed += await disturb(system, system.nodes[i], executors[i])
    await sending
    await asyncio.sleep(5.0)
    found = (find_parallel_runs(system.record.events) +
             find_repeated_runs(system.record.events))
    print(f"{ROUNDS} rounds, {len(missed)} steps of them not exercised")
    return conclude(system, "TWICE", found, missed)


if __name__ == "__main__":
    run_case(play)
