"""The deployment under test: programs, executors and the links between them."""

import asyncio
import json
import os
import sys

from executor import Executor
from proxy import Proxy
from store import Store
from system import BUILD, System
from wire import free_port


CLOCK_BYTES = 8
CLOCKS = os.path.join(BUILD, "libtime_of_day.so")


class SoakExecutor(Executor):
    """An executor behind a proxy that checks what it is told to start."""

    HOLD_MAX_MS = 10000  # longer than the lease of 6 s that a leader grants

    def __init__(self, name, system, clients, control):
        super().__init__(name, control, system.record, clients.work,
                         cpu=clients.cpu, gang_of=clients.gang_of)
        self.jobs = clients.jobs
        self.link = system.add_proxy(f"to-{name}", self.server.address)
        self.listed_ms = {}
        self.lapsed_ms = 0
        self.place = name
        self.lives = 0

    async def start(self, first_heartbeat_s=0.0, name=None):
        self.listed_ms = {}
        self.lapsed_ms = 0
        self.lives += 1
        await super().start(first_heartbeat_s, name)

    def next_name(self):
        """Return the id of an executor that replaces this one."""
        return f"{self.place}-{self.lives}"

    def describe(self):
        return {**super().describe(), "Address": self.link}

    async def run_start(self, life, body):
        job = self.jobs.get(str(body.get("Task")).split(".")[0])
        if job is None or body["Task"] not in job.tasks():
            self.log("wrong", f"{body.get('Task')} was not sent by a client")
        elif body.get("Spec") != job.spec():
            self.log("wrong", f"{body['Task']} with Spec {body.get('Spec')}")
        return await super().run_start(life, body)

    def end(self, life, run, how):
        # Before super(), which may end other members of a gang.
        if life.running.get(run.task) is run:
            self.listed_ms[life.end_number + 1] = life.clock_ms()
            if how == "lapsed":
                self.lapsed_ms = life.clock_ms()
        super().end(life, run, how)

    async def hold(self, life, body):
        """Answer a hold; an end after which the lease lapsed is not noted."""
        if life.clock_ms() > life.deadline_ms:
            self.lapsed_ms = life.clock_ms()
        cursor = body.get("AckCursor", 0)
        late = [end for end in life.ended if end[0] <= cursor and
                self.listed_ms[end[0]] < self.lapsed_ms]
        for end in late:
            self.log("late", f"{end[1]} run={end[2]} on {self.name} "
                             f"how={end[3]} noted after the lease lapsed")
        life.ended = [end for end in life.ended if end not in late]
        return await super().hold(life, body)


class LinkingStore(Store):
    """A store in which the address of a scheduler is that of its proxy.

    A scheduler announces the address that it listens on, so the store changes
    it in the records; both have the same length.
    """

    def __init__(self):
        super().__init__()
        self.links = {}

    async def append(self, request):
        for address, link in self.links.items():
            request.body = request.body.replace(address, link)
        return await super().append(request)


class Deployment(System):
    """A system in which programs reach the store and schedulers by proxies.

    Agents also learn the own address of a scheduler from its messages, so some
    of their connections bypass its proxy.
    """

    def __init__(self, folder):
        super().__init__(folder)
        self.store = LinkingStore()
        self.proxies = []
        self.executors = []
        self.busy = set()

    def environment(self, name):
        if not os.path.exists(self.clock_path(name)):
            self.set_clock(name, 0)
        return {"LD_PRELOAD": CLOCKS,
                "TIME_OF_DAY_OFFSET": self.clock_path(name)}

    def clock_path(self, name):
        return os.path.join(self.folder, f"{name}.clock")

    def set_clock(self, name, ahead_ms):
        """Let the time of day of a process be ahead."""
        # Without truncation, as the process has mapped the file.
        clock = os.open(self.clock_path(name), os.O_WRONLY | os.O_CREAT)
        with open(clock, "wb") as file:
            file.write(ahead_ms.to_bytes(CLOCK_BYTES, sys.byteorder,
                                         signed=True))

    def fields(self, name):
        fields = super().fields(name)
        store = self.add_proxy(f"{name}-store", self.store.server.address)
        fields["platform"] = {**fields["platform"], "Address": store}
        fields["Bounds"] = {**fields["Bounds"],
                            "HoldMaxMs": SoakExecutor.HOLD_MAX_MS}
        return fields

    def add_proxy(self, name, target):
        """Return the address of a new proxy."""
        proxy = Proxy(name, free_port(), target)
        self.proxies.append(proxy)
        return proxy.address

    def find_proxy(self, address):
        return next(each for each in self.proxies if each.address == address)

    def start_scheduler(self, name):
        super().start_scheduler(name)
        with open(self.schedulers[-1].path, encoding="utf-8") as file:
            address = json.load(file)["peer_address"]
        link = self.add_proxy(f"{name}-peers", address)
        self.store.links[address.encode()] = link.encode()

    async def start(self, schedulers, agents, clients):
        """Start all parts; return whether they are ready in time."""
        await self.start_store()
        for i in range(schedulers):
            self.start_scheduler(f"frontend-{i}")
        for i in range(agents):
            node = self.start_node(f"side-{i}")
            control = self.add_proxy(f"to-side-{i}", node.control)
            self.executors.append(SoakExecutor(
                f"i-{i}", self, clients, control))
        for proxy in self.proxies:
            await proxy.start()
        for i, executor in enumerate(self.executors):
            await executor.start(first_heartbeat_s=0.05 * i)
        return await self.wait_ready()

    def processes(self):
        return self.schedulers + self.nodes

    async def end(self):
        """End the processes, also paused ones, and all that serves them."""
        for process in self.processes():
            if process.child.poll() is None:
                process.child.kill()
            process.child.wait()
        for executor in self.executors:
            if executor.life is not None:
                executor.crash()
        for proxy in self.proxies:
            proxy.stop()
        self.store.server.abort()
        await asyncio.sleep(0.2)
