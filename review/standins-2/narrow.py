"""A link of a limited rate between a scheduler and the store."""

import asyncio

from wire import free_port

CHUNK = 4096
# A sleep that ends late is made up for, so that the rate is kept.
SLACK_S = 0.05


class Direction:
    """Passes bytes on at a rate that all connections of the link share."""

    def __init__(self, mbit_s):
        self.bytes_s = mbit_s * 1e6 / 8
        self.free_s = 0.0

    async def take(self, size):
        loop = asyncio.get_running_loop()
        self.free_s = (max(self.free_s, loop.time() - SLACK_S) +
                       size / self.bytes_s)
        await asyncio.sleep(max(0, self.free_s - loop.time()))


class NarrowLink:
    """A proxy in front of a server that has the rate of a machine's link."""

    def __init__(self, port, target, mbit_s):
        self.port = port
        self.target = target
        self.up = Direction(mbit_s)
        self.down = Direction(mbit_s)
        self.server = None
        self.writers = set()

    @property
    def address(self):
        return f"127.0.0.1:{self.port}"

    async def start(self):
        self.server = await asyncio.start_server(
            self.serve, "127.0.0.1", self.port, limit=CHUNK)

    def stop(self):
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        host, _, port = self.target.rpartition(":")
        try:
            to_reader, to_writer = await asyncio.open_connection(
                host, int(port), limit=CHUNK)
        except OSError:
            writer.transport.abort()
            return
        both = {writer, to_writer}
        self.writers |= both
        tasks = [asyncio.create_task(self.pass_on(reader, to_writer, self.up)),
                 asyncio.create_task(self.pass_on(to_reader, writer,
                                                  self.down))]
        try:
            # A connection that one side closes is closed on the other side.
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in tasks:
                task.cancel()
            for end in both:
                end.transport.abort()
            self.writers -= both

    @staticmethod
    async def pass_on(reader, writer, direction):
        try:
            while data := await reader.read(CHUNK):
                await direction.take(len(data))
                writer.write(data)
                await writer.drain()
        except OSError:
            pass


def put_behind_narrow_links(system, mbit_s):
    """Give each scheduler that starts a link of its own to the store.

    Return the list to which the links are added; the caller starts them.
    """
    links = []
    get_fields = system.fields

    def fields(name):
        found = get_fields(name)
        if name.startswith("frontend"):
            links.append(NarrowLink(free_port(), system.store.server.address,
                                    mbit_s))
            found["platform"] = {**found["platform"],
                                 "Address": links[-1].address}
        return found

    system.fields = fields
    return links
