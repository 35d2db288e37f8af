"""Common parts of the cases: ports, deployment, jobs and the exit code.

A case exits with 0 if the rule held, with 10 if it was broken, and with 2 if
the case could not run or did not exercise its disruption. TROUBLE=0 leaves the
disruption out. RECORD_DIR is the folder of record.txt (default: a temporary
one). The ports are the PORTS_PER_CASE from TEST_PORT_BASE on.
"""

import asyncio
import os
import sys
import tempfile

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))

import wire
from executor import Executor
from system import System, run_scenario

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
PORTS_PER_CASE = 250
NODES = 11
IDLE_S = 3.0
TASKS = 11  # per job
JOB_INTERVAL_S = 0.4
WORK_S = 1.0


class CaseExecutor(Executor):
    """Records the starts that a hanging executor leaves without an effect."""

    async def handle(self, request):
        if self.hangs and request.path == "/api/run-start":
            body = request.json()
            self.log("lost", f"{body['Task']} run={body['Run']} "
                             f"on {self.name}")
        return await super().handle(request)


async def start_deployment(system, work_s=WORK_S,
                           gang_of=lambda task, run: None,
                           executor_class=CaseExecutor):
    """Start all processes; return the executors, or None if not ready."""
    await system.start_store()
    for i in range(2):
        system.start_scheduler(f"frontend-{i}")
    executors = []
    for i in range(NODES):
        node = system.start_node(f"side-{i}")
        executors.append(executor_class(
            f"i-{i}", node.control, system.record,
            lambda task, run: (work_s, "done"), gang_of=gang_of))
        await executors[i].start()
    if not await system.wait_ready():
        print("the schedulers are not ready in time")
        return None
    await asyncio.sleep(2.0)
    return executors


async def send_jobs(system, count, tasks=TASKS):
    """Hand jobs of one step in; return the ids of those that were accepted."""
    body = {"Spec": "text", "Phases": [
        {"Count": tasks, "Cpu": 240, "MemMb": 480, "EstimatedMs": 1000}]}
    pending = {}
    for i in range(count):
        job = f"{i + 1:016x}"
        pending[job] = asyncio.create_task(system.submit(i, job, body))
        await asyncio.sleep(JOB_INTERVAL_S)
    return [job for job, task in pending.items() if await task]


def find_missed_steps(events, steps):
    """Return the steps that the events do not contain in this order.

    steps: the kind of an event, the start of its text, and a part of the rest
    """
    rest = iter(events)
    return [
        f"{kind} {start}{part}" for kind, start, part in steps
        if not any(kind == event[1] and event[2].startswith(start) and
                   part in event[2] for event in rest)
    ]


def conclude(system, rule, found, missed):
    """Print what was found; return the code for run_scenario().

    found: violations of the rule
    missed: parts of the disruption that were not exercised
    """
    for line in found:
        system.record(rule, line)
        print(f"{rule}: {line}")
    for line in missed:
        print(f"not exercised: {line}")
    return 1 if found else 2 if missed else 0


def run_case(play, make=System):
    """Play a case with ports of its own, and exit."""
    base = int(os.environ.get("TEST_PORT_BASE", "20000"))
    wire.PORTS = iter(range(base, base + PORTS_PER_CASE))
    with tempfile.TemporaryDirectory() as folder:
        run_scenario(os.environ.get("RECORD_DIR", folder), play, make)
