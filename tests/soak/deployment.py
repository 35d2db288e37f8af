"""The deployment under test: programs, executors and the links between them."""

import signal

from executor import Executor
from proxy import Proxy
from system import System
from wire import free_port


class SoakExecutor(Executor):
    """An executor behind a proxy that checks what it is told to start."""

    def __init__(self, name, proxies, jobs, control, log, work):
        super().__init__(name, control, log, work)
        self.jobs = jobs
        self.link = Proxy(f"to-{name}", free_port(), self.server.address)
        proxies.append(self.link)
        self.listed_ms = {}
        self.lapsed_ms = 0

    def describe(self):
        return {**super().describe(), "Address": self.link.address}

    async def run_start(self, life, body):
        job = self.jobs.get(str(body.get("Task")).split(".")[0])
        if job is None or body["Task"] not in job.tasks():
            self.log("wrong", f"{body.get('Task')} was not sent by a client")
        elif body.get("Spec") != job.spec():
            self.log("wrong", f"{body['Task']} with Spec {body.get('Spec')}")
        return await super().run_start(life, body)

    def end(self, life, run, how):
        held = life.running.get(run.task) is run
        super().end(life, run, how)
        if held:
            self.listed_ms[life.end_number] = life.clock_ms()
            if how == "lapsed":
                self.lapsed_ms = life.clock_ms()

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


class Deployment(System):
    """A system in which each program reaches the store through a proxy."""

    def __init__(self, folder):
        super().__init__(folder)
        self.proxies = []
        self.executors = []
        self.busy = set()

    def fields(self, name):
        fields = super().fields(name)
        proxy = Proxy(f"{name}-store", free_port(), self.store.server.address)
        self.proxies.append(proxy)
        fields["platform"] = {**fields["platform"], "Address": proxy.address}
        return fields

    async def start(self, schedulers, agents, clients):
        """Start all parts; return whether they are ready in time."""
        await self.start_store()
        for i in range(schedulers):
            self.start_scheduler(f"frontend-{i}")
        for i in range(agents):
            node = self.start_node(f"side-{i}")
            control = Proxy(f"to-side-{i}", free_port(), node.control)
            self.proxies.append(control)
            self.executors.append(SoakExecutor(
                f"i-{i}", self.proxies, clients.jobs, control.address,
                self.record, clients.work))
        for proxy in self.proxies:
            await proxy.start()
        for i, executor in enumerate(self.executors):
            await executor.start(first_heartbeat_s=0.05 * i)
        return await self.wait_ready()

    def processes(self):
        return self.schedulers + self.nodes

    def end_all(self):
        """End the processes, also those that are stopped."""
        for process in self.processes():
            if process.child.poll() is None:
                process.child.send_signal(signal.SIGCONT)
        self.stop()
