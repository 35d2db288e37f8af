"""Stand-in for an executor (PROTOCOL.md, "Running tasks")."""

import asyncio
import time

from wire import Server, call, free_port

STOP_S = 0.2


class Run:
    """A run of a task on one incarnation of an executor."""

    def __init__(self, task, number):
        self.task = task
        self.number = number
        self.began = time.monotonic()
        self.stopping = False


class Incarnation:
    """What one incarnation of an executor holds and knows."""

    def __init__(self):
        self.born_ms = int(time.time() * 1000)
        self.began = time.monotonic()
        self.running = {}
        self.ended = []
        self.end_number = 0
        self.fence = 0
        self.deadline_ms = 0
        self.last_runs = {}
        self.sequence = 0
        self.listed = asyncio.Event()

    def clock_ms(self):
        return int((time.monotonic() - self.began) * 1000)


class Executor:
    """An executor that enforces leases, fencing tokens and run numbers.

    log: called with the kind of an event and a text for record.txt
    work: returns the seconds of work of a task and how it ends
    gang_of: returns the gang of a run, or None
    """

    HOLD_MAX_MS = 6000

    def __init__(self, name, control, log, work, service="work",
                 heartbeat_s=1.1, cpu=16000, mem=64000,
                 gang_of=lambda task, run: None):
        self.name = name
        self.control = control
        self.log = log
        self.work = work
        self.service = service
        self.heartbeat_s = heartbeat_s
        self.cpu = cpu
        self.mem = mem
        self.gang_of = gang_of
        self.late_s = 0.0
        self.late_start = None
        self.state = "ready"
        self.remaining_ms = 0
        self.hangs = False
        self.beats = True
        self.server = Server("127.0.0.1", free_port(), self.handle)
        self.life = None
        self.tasks = []

    async def start(self, first_heartbeat_s=0.0, name=None):
        """Start an incarnation at the same address as before.

        name: its id, if it is another one than before
        """
        self.name = name or self.name
        self.life = Incarnation()
        await self.server.start()
        self.log("up", f"{self.name} born={self.life.born_ms}")
        self.tasks = [
            asyncio.create_task(self.send_heartbeats(first_heartbeat_s)),
            asyncio.create_task(self.expire_leases()),
        ]

    def crash(self):
        """End the incarnation without a message."""
        for task in self.tasks:
            task.cancel()
        life, self.life = self.life, None
        self.server.abort()
        runs, life.running = list(life.running.values()), {}
        for run in runs:
            self.log("gone", f"{run.task} run={run.number} on {self.name}")
            self.leave_gang(run)
        self.log("crash", self.name)

    def hang(self, hangs):
        """Leave all calls without an effect and without an answer.

        Heartbeats go on meanwhile if @beats is set.
        """
        self.hangs = hangs
        self.log("hang" if hangs else "answers", self.name)

    def delay_next_start(self, late_s):
        """Leave the next start unanswered and carry it out late.

        Return a future of its task.
        """
        self.late_s = late_s
        self.late_start = asyncio.get_running_loop().create_future()
        return self.late_start

    async def carry_out_late(self, life, body):
        self.log("late", f"{body['Task']} run={body['Run']} on {self.name} is "
                         f"left unanswered for {self.late_s} s")
        await asyncio.sleep(self.late_s)
        if self.life is life:
            status, _ = await self.run_start(life, body)
            self.log("late", f"{body['Task']} run={body['Run']} on "
                             f"{self.name} carried out: {status}")

    async def drain(self, remaining_s, stays_s):
        """Announce a planned end, and leave after some seconds."""
        self.state = "draining"
        self.remaining_ms = int(remaining_s * 1000)
        self.log("draining", self.name)
        await call(self.control, "PUT", f"/api/executors/{self.name}",
                   self.describe(), timeout=1.0)
        await asyncio.sleep(stays_s)
        await call(self.control, "DELETE", f"/api/executors/{self.name}",
                   timeout=1.0)
        self.crash()

    async def send_heartbeats(self, delay_s):
        life = self.life
        await asyncio.sleep(delay_s)
        while self.life is life:
            if self.beats or not self.hangs:
                await call(self.control, "PUT", f"/api/executors/{self.name}",
                           self.describe(), timeout=1.0)
            await asyncio.sleep(self.heartbeat_s)

    def describe(self):
        self.life.sequence += 1
        return {
            "Service": self.service,
            "Address": self.server.address,
            "Zone": "zone-a",
            "Version": "v1",
            "Slots": 8,
            "State": self.state,
            "ColdRemainingMs": 0,
            "RemainingMs": self.remaining_ms,
            "Capacity": {"Cpu": self.cpu, "MemMb": self.mem, "Gpu": 0},
            "Labels": ["a", "r1"],
            "ClockMs": self.life.clock_ms(),
            "Sequence": self.life.sequence,
            "born": self.life.born_ms,
        }

    async def expire_leases(self):
        life = self.life
        while True:
            await asyncio.sleep(0.05)
            if life.clock_ms() > life.deadline_ms:
                for run in list(life.running.values()):
                    self.end(life, run, "lapsed")

    def end(self, life, run, how):
        if life.running.get(run.task) is not run:
            return
        del life.running[run.task]
        life.last_runs[run.task] = run.number
        life.end_number += 1
        life.ended.append([life.end_number, run.task, run.number, how, ""])
        life.listed.set()
        life.listed = asyncio.Event()
        self.log(how, f"{run.task} run={run.number} on {self.name}")
        self.leave_gang(run)

    def leave_gang(self, run):
        gang = self.gang_of(run.task, run.number)
        if gang is not None:
            gang.leave(run)

    async def handle(self, request):
        life = self.life
        if life is None or self.hangs:
            return None
        body = request.json()
        if body is None:
            return 400, {}
        if request.headers.get("x-expected-instance", self.name) != self.name:
            return 421, {}
        fence = body.get("FencingToken", 0)
        if fence < life.fence:
            return 409, self.answer(life, Reason="fence")
        life.fence = fence
        handlers = {
            "/api/run-start": self.run_start,
            "/api/run-stop": self.run_stop,
            "/api/hold": self.hold,
            "/api/pace": self.pace,
        }
        handler = handlers.get(request.path)
        if (handler == self.run_start and self.late_start is not None
                and not self.late_start.done()):
            self.late_start.set_result(body["Task"])
            asyncio.create_task(self.carry_out_late(life, body))
            return None
        return (404, {}) if handler is None else await handler(life, body)

    def answer(self, life, **fields):
        return {"ClockMs": life.clock_ms(), "born": life.born_ms, **fields}

    def extend_lease(self, life, body):
        deadline_ms = min(body.get("DeadlineMs", 0),
                          life.clock_ms() + self.HOLD_MAX_MS)
        life.deadline_ms = max(life.deadline_ms, deadline_ms)

    async def run_start(self, life, body):
        task, number = body["Task"], body["Run"]
        self.extend_lease(life, body)
        run = life.running.get(task)
        if run is not None and run.number == number:
            return 200, self.answer(life)
        if number <= life.last_runs.get(task, 0) or run is not None:
            return 409, self.answer(life, Reason="old")
        if body.get("DeadlineMs", 0) <= life.clock_ms():
            return 409, self.answer(life, Reason="late")
        run = Run(task, number)
        life.running[task] = run
        self.log("start", f"{task} run={number} on {self.name} "
                          f"born={life.born_ms}")
        gang = self.gang_of(task, number)
        if gang is not None:
            gang.join(self, life, run)
        else:
            asyncio.create_task(self.work_on(life, run))
        return 200, self.answer(life)

    async def work_on(self, life, run):
        seconds, how = self.work(run.task, run.number)
        if seconds is None:
            return
        await asyncio.sleep(seconds)
        self.end(life, run, how)

    async def run_stop(self, life, body):
        task, number = body["Task"], body["Run"]
        run = life.running.get(task)
        if run is None or run.number != number:
            life.last_runs[task] = max(number, life.last_runs.get(task, 0))
        elif not run.stopping:
            run.stopping = True
            asyncio.create_task(self.finish_stop(life, run))
        return 200, self.answer(life)

    async def finish_stop(self, life, run):
        await asyncio.sleep(STOP_S)
        self.end(life, run, "stopped")

    async def hold(self, life, body):
        self.extend_lease(life, body)
        cursor = body.get("AckCursor", 0)
        wait_s = min(body.get("WaitMs", 0), 2000) / 1000
        for end in life.ended:
            if end[0] <= cursor:
                self.log("noted", f"{end[1]} run={end[2]} on {self.name} "
                                  f"how={end[3]}")
        life.ended = [end for end in life.ended if end[0] > cursor]
        if not life.ended and wait_s > 0:
            try:
                await asyncio.wait_for(life.listed.wait(), wait_s)
            except asyncio.TimeoutError:
                pass
        running = [
            [run.task, run.number, "", self.percent(run), 100]
            for run in life.running.values()
        ]
        return 200, self.answer(life, Running=running,
                                Ended=life.ended[:500])

    def percent(self, run):
        seconds, _ = self.work(run.task, run.number)
        if seconds is None:
            return 100
        passed = time.monotonic() - run.began
        return min(99, int(passed / seconds * 100))

    async def pace(self, life, body):
        return 200, self.answer(life)
