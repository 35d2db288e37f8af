"""A deployment in which single links between processes can be cut."""

import asyncio
import base64
import functools

from proxy import Proxy
from system import System
from wire import Server, free_port

SCHEDULERS = ("frontend-0", "frontend-1")
BOTH = ("up", "down")


class StoreLink:
    """The way of one process to the store.

    It leaves calls unanswered during a cut.

    rewrite: replaces the addresses of schedulers in records
    """

    def __init__(self, store, rewrite):
        self.store = store
        self.rewrite = rewrite
        self.open = asyncio.Event()
        self.open.set()
        self.refuses = False
        self.server = Server("127.0.0.1", free_port(), self.handle)

    async def handle(self, request):
        answer = 503, {}
        await self.open.wait()
        if not self.refuses:
            answer = await self.store.handle(request)
            await self.open.wait()
        if self.refuses:
            return 503, {}
        status, body = answer
        if request.path == "/api/log-read" and status == 200:
            body = self.rewrite(body)
        if request.path == "/api/log-newest" and status == 200:
            for item in body["items"]:
                value = self.rewrite(base64.b64decode(item["Value"]))
                item["Value"] = base64.b64encode(value).decode()
        return status, body


class Network(System):
    """Gives each process links of its own to the store and the schedulers.

    In all that a process receives, the addresses of schedulers are replaced by
    those of the proxies through which it reaches them; all have one length.
    """

    def __init__(self, folder):
        super().__init__(folder)
        self.ports = {name: free_port() for name in SCHEDULERS}
        self.links = {}
        self.proxies = {}  # process -> scheduler -> proxy

    def rewrite(self, name, data):
        for other, proxy in self.proxies[name].items():
            known = {proxy.target, *(proxies[other].address
                                     for proxies in self.proxies.values()
                                     if other in proxies)}
            for address in known:
                data = data.replace(address.encode(), proxy.address.encode())
        return data

    def fields(self, name):
        proxies = self.proxies[name] = {
            other: Proxy(f"{name}-{other}", free_port(), f"127.0.0.1:{port}")
            for other, port in self.ports.items() if other != name}
        rewrite = functools.partial(self.rewrite, name)
        for proxy in proxies.values():
            proxy.rewrite = rewrite
        link = self.links[name] = StoreLink(self.store, rewrite)
        fields = super().fields(name)
        fields["InternalPortRange"] = [self.ports.get(name, free_port()),
                                       free_port()]
        fields["platform"] = {**fields["platform"],
                              "Address": link.server.address}
        return fields

    async def start_links(self):
        for name, link in self.links.items():
            await link.server.start()
            for proxy in self.proxies[name].values():
                await proxy.start()

    def find_proxies(self, one, other):
        """Return the proxies between two processes, in both directions."""
        return [self.proxies[name][target]
                for name, target in ((one, other), (other, one))
                if target in self.proxies[name]]

    def cut(self, one, other):
        """Cut a process off from another one, or from the store."""
        self.record("cut", f"{one} from {other}")
        if other == "store":
            self.links[one].open.clear()
            return
        for proxy in self.find_proxies(one, other):
            proxy.hold(BOTH)

    def refuse(self, name):
        """Let the store refuse the calls of a process."""
        self.record("cut", f"{name} is refused by the store")
        self.links[name].refuses = True

    def heal(self):
        self.record("cut", "healed")
        for name, link in self.links.items():
            link.open.set()
            link.refuses = False
            for proxy in self.proxies[name].values():
                proxy.heal()
