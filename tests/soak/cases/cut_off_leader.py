"""Guards against a task that runs twice, or is lost, beside a cut-off leader.

The leader knows no other scheduler, or none that answers, while it does not
reach the store; the other one starts meanwhile. The argument is the variant:
what happens to the other scheduler, and who is cut off from whom.
"""

import asyncio
import signal
import sys

from case import CaseExecutor, TROUBLE, conclude, run_case
from checks import find_idle_jobs, find_parallel_runs, get_running
from network import SCHEDULERS, Network

AGENTS = 4
JOB = "00000000000000a1"
# Longer than a claim without contact and the wait for a lease together.
CUT_S = 14.0
# The rule allows a lasting task this long without a run.
IDLE_S = 6.0


def cut_leader_and_agent(case, leader, other, near, far):
    """The leader loses the store and the other scheduler, one agent the store.

    Only the other agents learn more.
    """
    case.cut(leader, "store")
    case.cut(leader, other)
    case.refuse(near)


def cut_in_two(case, leader, other, near, far):
    """The leader and one agent lose all other processes."""
    cut_leader_and_agent(case, leader, other, near, far)
    case.cut(near, other)
    for agent in far:
        case.cut(agent, leader)


def cut_store(case, leader, other, near, far):
    """No process reaches the store."""
    for name in [leader, other, near, *far]:
        case.cut(name, "store")


# Variant -> how the other scheduler ends, whether it starts again, the cut,
# and whether the run has to outlast it.
VARIANTS = {
    "planned": (signal.SIGTERM, True, cut_leader_and_agent, True),
    "planned_in_two": (signal.SIGTERM, True, cut_in_two, True),
    "killed": (signal.SIGKILL, True, cut_leader_and_agent, False),
    "killed_in_two": (signal.SIGKILL, True, cut_in_two, False),
    "late_in_two": (signal.SIGTERM, False, cut_in_two, True),
    "store_away": (signal.SIGTERM, False, cut_store, True),
    "store_away_late": (signal.SIGTERM, True, cut_store, True),
}
LATE_S = 3.0


async def start(case):
    """Start the processes and a lasting task; return its executor's number."""
    await case.start_store()
    for name in SCHEDULERS:
        case.start_scheduler(name)
    for i in range(AGENTS):
        node = case.start_node(f"side-{i}")
        await CaseExecutor(f"i-{i}", node.control, case.record,
                           lambda task, run: (None, "done")).start()
    await case.start_links()
    if not await case.wait_ready():
        return None
    await asyncio.sleep(2.0)
    if not await case.submit(0, JOB, {"Spec": "text", "Phases": [
            {"Count": 1, "Cpu": 1000, "MemMb": 512, "EstimatedMs": 1000,
             "LongRunning": True}]}):
        return None
    await asyncio.sleep(3.0)
    running = get_running(case.record.events)
    return int(running[0][2].split("-")[1]) if running else None


async def disturb(case, near, variant):
    number, starts_again, cut, _ = VARIANTS[variant]
    leader = case.find_leader()
    other = case.schedulers[1 - leader]
    other.signal(number)
    while other.child.poll() is None:
        await asyncio.sleep(0.05)
    await asyncio.sleep(0.3)
    if starts_again:
        other.start()
    cut(case, SCHEDULERS[leader], other.name, f"side-{near}",
        [f"side-{i}" for i in range(AGENTS) if i != near])
    if not starts_again:
        await asyncio.sleep(LATE_S)
        other.start()
    await asyncio.sleep(CUT_S)
    case.heal()


def find_lost(case, began_s, variant):
    """Return what the run or its task has suffered (LOST)."""
    events = case.record.events
    found = [f"{at_s:.3f} s: the run ended: {text}"
             for at_s, kind, text in events
             if kind in ("lapsed", "stopped", "gone") and at_s >= began_s and
             VARIANTS[variant][3]]
    return found + [f"{job} does not run" for job in find_idle_jobs(
        events, [JOB], case.record.now_s() - IDLE_S)]


async def play(case):
    variant = sys.argv[1]
    near = await start(case)
    if near is None:
        return 2
    began_s = case.record.now_s()
    if TROUBLE:
        await disturb(case, near, variant)
    await asyncio.sleep(8.0)
    found = (find_parallel_runs(case.record.events) +
             find_lost(case, began_s, variant))
    return conclude(case, "TWICE or LOST", found, [])


if __name__ == "__main__":
    run_case(play, Network)
