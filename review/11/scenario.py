"""A scheduler is restarted while the other one is cut off; see claim.txt."""

import asyncio
import base64
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "standins-3"))
from bench3 import (BROKEN, HELD, NOT_RUN, WorkExecutor, run_case,  # noqa: E402
                    soak, trouble)
from proxy import Proxy  # noqa: E402
from wire import Server, free_port  # noqa: E402

# One of 2 frontend and 4 side machines is cut off, and one is turned away by
# the store: "share" 0.17 each.
SCHEDULERS = ("frontend-0", "frontend-1")
AGENTS = 4
CUT_S = 12.0
TURNED_AWAY_FROM_S = 2.5
TURNED_AWAY_S = 9.0
# The executors are no longer young then, for which a new leader waits longer.
RUNS_S = 20.0
JOB = "5c0e7a21d94b36f8"


class StoreLink:
    """The way of one process to the store.

    It leaves calls unanswered during a cut, and answers 503 while the store
    turns the process away. The addresses of schedulers in the
    records are replaced by those of the proxies through which this process
    reaches them; all have the same length.
    """

    def __init__(self, store, links):
        self.store = store
        self.links = links
        self.open = asyncio.Event()
        self.open.set()
        self.turned_away = False
        self.server = Server("127.0.0.1", free_port(), self.handle)

    def replace(self, data):
        for address, link in self.links.items():
            data = data.replace(address, link)
        return data

    async def handle(self, request):
        await self.open.wait()
        if self.turned_away:
            return 503, {}
        status, body = await self.store.handle(request)
        await self.open.wait()
        if self.turned_away:
            return 503, {}
        if request.path == "/api/log-read" and status == 200:
            body = self.replace(body)
        if request.path == "/api/log-newest" and status == 200:
            for item in body["items"]:
                value = self.replace(base64.b64decode(item["Value"]))
                item["Value"] = base64.b64encode(value).decode()
        return status, body


class Network(soak.System):
    """A deployment in which some processes can be cut off from the others."""

    def __init__(self, folder):
        super().__init__(folder)
        self.peers = {name: free_port() for name in SCHEDULERS}
        self.links = {}
        self.proxies = {}
        self.executors = []

    def fields(self, name):
        fields = super().fields(name)
        fields["InternalPortRange"] = [self.peers.get(name, free_port()),
                                       free_port()]
        links = {}
        for other, port in self.peers.items():
            if other == name:
                continue
            proxy = Proxy(f"{name}-{other}", free_port(), f"127.0.0.1:{port}")
            self.proxies[name, other] = proxy
            links[f"127.0.0.1:{port}".encode()] = proxy.address.encode()
        self.links[name] = StoreLink(self.store, links)
        fields["platform"] = {**fields["platform"],
                              "Address": self.links[name].server.address}
        return fields

    async def cut(self, name):
        """Cut a scheduler off from the store and from the other one."""
        held = [proxy for ends, proxy in self.proxies.items()
                if name in ends and set(ends) <= set(SCHEDULERS)]
        self.record("cut", f"{name} off")
        self.links[name].open.clear()
        for proxy in held:
            proxy.hold(("up", "down"))
        await asyncio.sleep(CUT_S)
        self.links[name].open.set()
        for proxy in held:
            proxy.heal()
        self.record("cut", "healed")

    async def turn_away(self, name):
        """Let the store refuse all calls of a process."""
        await asyncio.sleep(TURNED_AWAY_FROM_S)
        self.record("store", f"turns {name} away")
        self.links[name].turned_away = True
        await asyncio.sleep(TURNED_AWAY_S)
        self.links[name].turned_away = False
        self.record("store", f"serves {name} again")

    async def start(self):
        await self.start_store()
        for name in SCHEDULERS:
            self.start_scheduler(name)
        for i in range(AGENTS):
            node = self.start_node(f"side-{i}")
            self.executors.append(WorkExecutor(
                f"i-{i}", node.control, self.record,
                lambda task, run: (None, "done")))
        for each in [*self.links.values()]:
            await each.server.start()
        for proxy in self.proxies.values():
            await proxy.start()
        for executor in self.executors:
            await executor.start()
        ready = await self.wait_ready()
        await asyncio.sleep(2.0)  # all executors are known
        return ready


def find_overlaps(events, end_s):
    """Return (task, from, to) of the times with two runs of a task."""
    began = {}
    spans = {}
    for at_s, kind, text in events:
        words = text.split(" ")
        if kind == "start":
            began[words[0], words[3]] = at_s
        elif kind in ("done", "failed", "stopped", "lapsed", "gone"):
            key = words[0], words[3]
            spans.setdefault(words[0], []).append((began.pop(key), at_s))
    for (task, _), at_s in began.items():
        spans.setdefault(task, []).append((at_s, end_s))
    overlaps = []
    for task, times in spans.items():
        times.sort()
        for first, second in zip(times, times[1:]):
            if second[0] < first[1]:
                overlaps.append((task, second[0], min(first[1], second[1])))
    return overlaps


async def play(case):
    if not await case.start():
        return NOT_RUN
    leader = case.find_leader()
    other = case.schedulers[1 - leader]
    leader = case.schedulers[leader]
    job = {"Spec": "watch", "Phases": [
        {"Count": 1, "Cpu": 1000, "MemMb": 512, "EstimatedMs": 1000,
         "LongRunning": True}]}
    if not await case.submit(0, JOB, job):
        return NOT_RUN
    await asyncio.sleep(RUNS_S)
    place = next((i for i, each in enumerate(case.executors)
                  if each.life.running), None)
    if place is None:
        return NOT_RUN
    # Planned work: the other scheduler is stopped and started again.
    other.signal(signal.SIGTERM)
    while other.child.poll() is None:
        await asyncio.sleep(0.05)
    case.record("process", f"{other.name} has ended")
    await asyncio.sleep(0.3)
    other.start()
    if trouble():
        await asyncio.gather(case.cut(leader.name),
                             case.turn_away(f"side-{place}"))
    await asyncio.sleep(8.0)
    overlaps = find_overlaps(case.record.events, case.record.now_s())
    for task, from_s, to_s in overlaps:
        case.record("twice", f"{task} ran twice from {from_s:.2f} to "
                             f"{to_s:.2f} s")
    return BROKEN if overlaps else HELD


if __name__ == "__main__":
    run_case(os.path.dirname(os.path.abspath(__file__)), play, Network)
