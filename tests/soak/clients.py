"""Clients that submit, cancel and ask for jobs, and what they were answered."""

import asyncio
import json
import random

from gang import Gangs
from leftovers import cancel
from system import HOST, PREFIX
from wire import call, read_head

TIMEOUT_S = 3.0
REFUSALS = (429, 503)
TASK_COUNTS = (3, 6, 12)
TASK_CPU = 300
CPU = 16000  # per executor
# In a full cell: lasting jobs of three tasks, more than fit on 11 executors.
FULL_CPU = 1500
FILLING_JOBS = 16
FILLING_TRIES = 1000


class Job:
    """A job that a client submits, and all calls about it.

    work_s: seconds of work of each task, or None if the tasks last
    cancel_s: time from the first submission to the cancelling, or None
    gangs: the gangs of its runs, or None if its tasks work by themselves
    """

    def __init__(self, job_id, counts, work_s, begin_s, cancel_s, gangs=None):
        self.id = job_id
        self.counts = counts
        self.work_s = work_s
        self.begin_s = begin_s
        self.cancel_s = cancel_s
        self.gangs = gangs
        self.calls = []
        self.cancelled_s = None

    def body(self):
        """Return the body of the submission."""
        steps = [{"Count": count, "Cpu": TASK_CPU, "MemMb": 64,
                  "EstimatedMs": 800} for count in self.counts]
        for i, step in enumerate(steps):
            if self.work_s is None:
                step["LongRunning"] = True
            if self.gangs is not None:
                step["Gang"] = True
            if i > 0:
                step["After"] = [i - 1]
        return {"Spec": self.spec(), "Phases": steps}

    def spec(self):
        return f"spec of {self.id}"

    def tasks(self):
        return {f"{self.id}.0.{step}.{i}"
                for step, count in enumerate(self.counts)
                for i in range(count)}

    def answers(self, method):
        """Return (sent, answered, status, body) of the answered calls."""
        return [made[1:] for made in self.calls if made[0] == method]

    def accepted_s(self):
        """Return when the job was first answered 2xx, or None."""
        return min((at_s for _, at_s, status, _ in self.answers("POST")
                    if 200 <= status < 300), default=None)

    def is_refused(self):
        """Return whether all submissions were refused."""
        statuses = [status for _, _, status, _ in self.answers("POST")]
        return bool(statuses) and all(s in REFUSALS for s in statuses)


class Caller:
    """Calls schedulers on connections of its own.

    keep: whether connections stay open from one call to the next
    """

    def __init__(self, system, keep):
        self.system = system
        self.keep = keep
        self.channels = {}

    async def call(self, number, method, path, body=None):
        """Return (status, body); the status is 0 without an answer."""
        process = self.system.schedulers[number]
        headers = {"host": HOST, "x-deadline-ms": "3000"}
        if not self.keep:
            return await call(process.http, method, PREFIX + path, body,
                              headers, TIMEOUT_S)
        try:
            return await asyncio.wait_for(
                self.exchange(process.http, method, path, body), TIMEOUT_S)
        except (OSError, asyncio.TimeoutError, ValueError, IndexError,
                asyncio.IncompleteReadError):
            self.drop(process.http)
            return 0, b""

    async def exchange(self, address, method, path, body):
        if address not in self.channels:
            host, _, port = address.rpartition(":")
            self.channels[address] = await asyncio.open_connection(
                host, int(port))
        reader, writer = self.channels[address]
        content = b"" if body is None else json.dumps(body).encode()
        writer.write(
            f"{method} {PREFIX}{path} HTTP/1.1\r\nhost: {HOST}\r\n"
            f"x-deadline-ms: 3000\r\ncontent-type: application/json\r\n"
            f"content-length: {len(content)}\r\n\r\n".encode() + content)
        await writer.drain()
        head = await read_head(reader)
        if head is None:
            raise ConnectionError("closed without an answer")
        line, headers = head
        answer = await reader.readexactly(
            int(headers.get("content-length", "0")))
        if headers.get("connection", "").lower() == "close":
            self.drop(address)
        return int(line.split(" ")[1]), answer

    def drop(self, address):
        if address in self.channels:
            self.channels.pop(address)[1].transport.abort()

    def close(self):
        for address in list(self.channels):
            self.drop(address)


class Clients:
    """Plays the load of one seed."""

    def __init__(self, system, seed, seconds):
        self.system = system
        self.random = random.Random(f"load {seed}")
        self.jobs = {}
        self.count = 0
        self.counts_seen = []
        self.cpu = FULL_CPU if seed % 2 else CPU
        self.plan(seconds)
        self.filling = self.fill(seconds) if seed % 2 else []

    def add(self, counts, work_s, seconds, cancel_s=None, gangs=None):
        self.count += 1
        job_id = f"{self.random.getrandbits(40):010x}{self.count:06x}"
        begin_s = self.random.uniform(0, seconds)
        self.jobs[job_id] = Job(job_id, counts, work_s, begin_s, cancel_s,
                                gangs)
        return self.jobs[job_id]

    def plan(self, seconds):
        pick = self.random
        for _ in range(59):
            self.add([pick.choice(TASK_COUNTS)], None, seconds,
                     pick.choice((pick.uniform(0.01, 0.2),
                                  pick.uniform(0.01, 5.0))))
        for _ in range(6):
            self.add([3], None, seconds)
        for _ in range(12):
            self.add([pick.randint(1, 4)], pick.uniform(0.2, 3.0), seconds)
        for _ in range(6):
            self.add([pick.randint(1, 4), 2], pick.uniform(0.2, 1.5), seconds,
                     pick.choice((None, None, pick.uniform(0.01, 3.0))))
        for _ in range(6):
            count, work_s = pick.randint(2, 5), pick.uniform(0.2, 2.0)
            self.add([count], work_s, seconds,
                     pick.choice((None, None, pick.uniform(0.01, 3.0))),
                     Gangs(count, work_s))

    def fill(self, seconds):
        """Add lasting jobs that fill the cell; return them."""
        return [self.add([3], None, seconds) for _ in range(FILLING_JOBS)]

    def gang_of(self, task, number):
        """Return the gang of a run, or None (see Executor)."""
        job = self.jobs.get(task.split(".")[0])
        if job is None or job.gangs is None:
            return None
        return job.gangs.get(task, number)

    def work(self, task, _):
        """Return how long a task works and how it ends (see Executor)."""
        job = self.jobs.get(task.split(".")[0])
        return (None, None) if job is None or job.work_s is None else (
            job.work_s, "done")

    def pick_scheduler(self):
        return self.random.randrange(len(self.system.schedulers))

    async def call(self, caller, job, method, number):
        """Make a call on a job, and keep what was answered."""
        record = self.system.record
        name = self.system.schedulers[number].name
        sent_s = record.now_s()
        record("send", f"{method} {job.id} to {name}")
        body = job.body() if method == "POST" else None
        status, answer = await caller.call(number, method, job.id, body)
        text = answer.decode(errors="replace").strip()
        record("answer", f"{method} {job.id} from {name}: {status} {text} "
                         f"(sent {sent_s:.3f})")
        job.calls.append((method, sent_s, record.now_s(), status, text))
        return status

    async def submit(self, caller, job, patience):
        """Submit a job until it is answered 2xx, refused or cancelled.

        patience: number of refusals after which the client gives up
        """
        while patience > 0 and job.cancelled_s is None:
            status = await self.call(caller, job, "POST",
                                     self.pick_scheduler())
            if 200 <= status < 300:
                return
            patience -= status in REFUSALS
            await asyncio.sleep(self.random.uniform(0.02, 0.3))

    async def cancel(self, caller, job):
        """Cancel a job until it is answered 2xx or 410."""
        while job.cancelled_s is None:
            status = await self.call(caller, job, "DELETE",
                                     self.pick_scheduler())
            if status == 410 or 200 <= status < 300:
                job.cancelled_s = self.system.record.now_s()
            else:
                await asyncio.sleep(self.random.uniform(0.02, 0.2))

    async def watch(self, caller, job):
        """Ask for the state of a job from time to time."""
        while True:
            await asyncio.sleep(self.random.uniform(0.3, 2.5))
            await self.call(caller, job, "GET", self.pick_scheduler())

    async def play(self, job):
        """Play one job from its first submission to its last answer."""
        callers = [Caller(self.system, self.random.random() < 0.6)
                   for _ in range(3)]
        patience = self.random.choice((1, 4))
        if job in self.filling:
            patience = FILLING_TRIES
        await asyncio.sleep(job.begin_s)
        watching = asyncio.create_task(self.watch(callers[0], job))
        calls = [self.submit(callers[1], job, patience)]
        if job.cancel_s is not None:
            calls.append(self.cancel_later(callers[2], job))
        try:
            await asyncio.gather(*calls)
        finally:
            await cancel([watching])
            for caller in callers:
                caller.close()

    async def cancel_later(self, caller, job):
        await asyncio.sleep(job.cancel_s)
        await self.cancel(caller, job)

    async def cancel_filling(self):
        """Cancel the jobs that fill the cell."""
        caller = Caller(self.system, False)
        for job in self.filling:
            job.cancel_s = self.system.record.now_s() - job.begin_s
        await asyncio.gather(*(self.cancel(caller, job)
                               for job in self.filling))

    async def ask_counts(self):
        """Ask for the number of pending jobs from time to time."""
        caller = Caller(self.system, True)
        try:
            while True:
                await asyncio.sleep(0.7)
                status, answer = await caller.call(self.pick_scheduler(),
                                                   "GET", "")
                self.counts_seen.append((self.system.record.now_s(), status,
                                         answer))
        finally:
            caller.close()

    async def play_all(self):
        counting = asyncio.create_task(self.ask_counts())
        await asyncio.gather(*(self.play(job) for job in self.jobs.values()))
        await cancel([counting])
