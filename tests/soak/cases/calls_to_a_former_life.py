"""Guards against a task that runs twice as a call reaches a later incarnation.

The machines of some executors lose power and are back soon, under the same ids.
Calls that were sent meanwhile wait in the queue of new connections, and the
next incarnation serves them. Their leases and cursors are those of the former
one. Soon after, the agents of these executors are cut off, here by pausing them,
and in the second round the leader is killed just before.
"""

import asyncio
import signal

from case import (TROUBLE, CaseExecutor, conclude, run_case, send_jobs,
                  start_deployment)
from checks import find_parallel_runs, find_repeated_runs
from system import BOUNDS
from wire import Server

HOLD_MAX_MS = 10000  # longer than the lease of 6 s that a leader grants
WORK_S = 12.0
JOBS = 90
DISTURBED = 4
DARK_S = 1.3
FIRST_HEARTBEAT_S = 0.15
CUT_AFTER_S = 2.0
KILL_BEFORE_CUT_S = 0.5
CUT_S = 9.0
KILLED_S = 0.5
# Calls that have to wait for the later incarnations, for the case to count: one
# for each executor.
MIN_WAITING = DISTURBED


class DarkServer(Server):
    """A server whose machine loses power instead of closing its connections.

    Old connections fall silent, and are reset when it is back. New ones wait
    with their requests until then.
    """

    def __init__(self, host, port, handler):
        super().__init__(host, port, handler)
        self.power = asyncio.Event()
        self.former = set()
        self.waited = 0

    async def start(self):
        if self.server is None:
            await super().start()
        for writer in self.former:
            writer.transport.abort()
        self.power.set()

    def abort(self):
        self.power.clear()
        self.former = set(self.writers)

    async def serve(self, reader, writer):
        if not self.power.is_set():
            await self.power.wait()
            self.waited += 1
        await super().serve(reader, writer)


class DarkExecutor(CaseExecutor):
    """An executor on a machine that loses power."""

    HOLD_MAX_MS = HOLD_MAX_MS

    def __init__(self, *args, **options):
        super().__init__(*args, **options)
        self.server = DarkServer(self.server.host, self.server.port,
                                 self.handle)

    async def handle(self, request):
        life = self.life
        answer = await super().handle(request)
        return answer if life is self.life else None

    def extend_lease(self, life, body):
        if body.get("DeadlineMs", 0) > life.clock_ms() + HOLD_MAX_MS:
            self.log("former", f"{self.name} gets the lease of an earlier "
                               f"incarnation at {life.clock_ms()} ms")
        super().extend_lease(life, body)


async def lose_power(executor):
    executor.crash()
    await asyncio.sleep(DARK_S)
    await executor.start(FIRST_HEARTBEAT_S)


async def cut_off(node):
    node.signal(signal.SIGSTOP)
    await asyncio.sleep(CUT_S)
    node.signal(signal.SIGCONT)


async def kill_leader(system):
    leader = system.schedulers[system.find_leader()]
    leader.signal(signal.SIGKILL)
    leader.child.wait()
    await asyncio.sleep(KILLED_S)
    leader.start()


async def play_round(system, executors, numbers, kills):
    """Disturb some executors, and their agents soon after."""
    chosen = [executors[i] for i in numbers]
    await asyncio.gather(*(lose_power(executor) for executor in chosen))
    await asyncio.sleep(CUT_AFTER_S - KILL_BEFORE_CUT_S)
    killing = asyncio.create_task(kill_leader(system)) if kills else None
    await asyncio.sleep(KILL_BEFORE_CUT_S)
    await asyncio.gather(*(cut_off(system.nodes[i]) for i in numbers))
    if killing is not None:
        await killing


async def play(system):
    BOUNDS["HoldMaxMs"] = HOLD_MAX_MS
    executors = await start_deployment(system, WORK_S,
                                       executor_class=DarkExecutor)
    if executors is None:
        return 2
    sending = asyncio.create_task(send_jobs(system, JOBS))
    # In the second round most new tasks go to the same executors, which have
    # lost all that they ran.
    for kills in (False, True) if TROUBLE else ():
        await asyncio.sleep(3.0)
        await play_round(system, executors, range(DISTURBED), kills)
    await sending
    await asyncio.sleep(5.0)
    found = (find_parallel_runs(system.record.events) +
             find_repeated_runs(system.record.events))
    waited = sum(executor.server.waited for executor in executors)
    print(f"{waited} calls waited for executors to be back")
    missed = [] if waited >= MIN_WAITING else ["too few calls waited"]
    return conclude(system, "TWICE", found, missed)


if __name__ == "__main__":
    run_case(play)
