"""A small deployment of the real programs, with the stand-ins of tests/soak/.

Shared by the scripts of review/6 and later. Needs BUILD_DIR, the folder with
teasel-scheduler and teasel-node.
"""

import asyncio
import os
import sys

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(
    os.path.abspath(__file__))))
sys.path.insert(0, os.path.join(ROOT, "tests", "soak"))

# pylint: disable=wrong-import-position
from executor import Executor  # noqa: E402
from system import run_scenario  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class Cell:
    """Schedulers, agents and executors on loopback addresses."""

    def __init__(self, system):
        self.system = system
        self.record = system.record
        self.executors = []

    async def start(self, schedulers, executors, work, links=(), **options):
        """Start all parts; raise an error if they are not ready in time.

        work: returns the seconds of work of a task, None if it lasts, and how
            it ends
        links: proxies that the schedulers add, see narrow.py
        """
        await self.system.start_store()
        for i in range(schedulers):
            self.system.start_scheduler(f"frontend-{i}")
        for link in links:
            await link.start()
        for i in range(executors):
            node = self.system.start_node(f"side-{i}")
            executor = Executor(f"i-{i}", node.control, self.record, work,
                                **options)
            self.executors.append(executor)
            await executor.start(first_heartbeat_s=0.05 * i)
        if not await self.system.wait_ready():
            raise RuntimeError("the schedulers are not ready")

    async def wait(self, holds, limit_s, what):
        """Wait until a condition holds; raise an error if it takes longer."""
        began = self.record.now_s()
        while not holds():
            if self.record.now_s() - began > limit_s:
                raise RuntimeError(f"not within {limit_s} s: {what}")
            await asyncio.sleep(0.02)

    def count_running(self, job):
        """Return the number of tasks of a job that run."""
        return sum(
            run.task.startswith(job + ".")
            for executor in self.executors if executor.life is not None
            for run in executor.life.running.values())

    def count_ends(self, job, how):
        """Return the number of runs of a job that have ended in a way."""
        return sum(kind == how and text.startswith(job + ".")
                   for _, kind, text in self.record.events)

    async def get_state(self, job):
        """Return the status and the body of the answer about a job."""
        status, body = await self.system.client(0, "GET", job)
        return status, body.decode(errors="replace")

    def take_store_down(self, down):
        """Answer all calls with 503, which says that nothing was done."""
        async def refuse(request):
            return 503, {}

        store = self.system.store
        store.server.handler = refuse if down else store.handle

    def end(self):
        """End the executors; the system ends the processes."""
        for executor in self.executors:
            if executor.life is not None:
                executor.crash()


def ignore_cancelled(loop, context):
    """Keep quiet about the calls that are open when a scenario ends."""
    if not isinstance(context.get("exception"), asyncio.CancelledError):
        loop.default_exception_handler(context)


def run(folder, play):
    """Play a scenario with a cell; see run_scenario() for the exit codes."""
    async def play_cell(system):
        asyncio.get_running_loop().set_exception_handler(ignore_cancelled)
        cell = Cell(system)
        try:
            return await play(cell)
        finally:
            cell.end()
            system.store.server.abort()
            await asyncio.sleep(0.1)

    run_scenario(folder, play_cell)
