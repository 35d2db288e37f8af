"""Loopback TCP proxy that disturbs the connections it forwards."""

import asyncio
import socket
import struct

WAYS = ("up", "down")


def reset(writer):
    """End a connection with RST, which is sent if it does not linger."""
    try:
        writer.get_extra_info("socket").setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    except OSError:
        pass  # closed by the other side already
    writer.transport.abort()


class Proxy:
    """Forwards connections to a target address.

    It can delay what it forwards, reset its connections, once or as soon as
    they are open, refuse them, and hold back one way ("up" is towards the
    target) or both. What is held back goes on when the way is opened again, as
    TCP would repeat it.
    """

    def __init__(self, name, port, target):
        self.name = name
        self.target = target
        self.delay_s = 0.0
        self.resets = False
        self.rewrite = lambda data: data  # applied to what is forwarded
        self.open = {way: asyncio.Event() for way in WAYS}
        self.writers = set()
        self.pumps = set()
        self.server = None
        self.port = port
        self.address = f"127.0.0.1:{port}"
        # Listens at once, so that a program can connect before start().
        self.socket = self.listen()
        self.heal()

    def listen(self):
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(("127.0.0.1", self.port))
        listener.listen(128)
        return listener

    async def start(self):
        """Accept connections, also after refuse()."""
        if self.server is not None:
            return
        if self.socket is None:
            self.socket = self.listen()
        self.server = await asyncio.start_server(self.serve, sock=self.socket)

    def refuse(self):
        """Refuse connections until start()."""
        self.server.close()
        self.server = self.socket = None
        self.reset()

    def stop(self):
        if self.server is not None:
            self.server.close()
        self.reset()

    def heal(self):
        """Forward everything without delay."""
        self.delay_s = 0.0
        self.resets = False
        for event in self.open.values():
            event.set()

    def hold(self, ways):
        """Hold back what goes these ways."""
        for way in ways:
            self.open[way].clear()

    def reset(self):
        """Reset all connections on both sides."""
        for pump in self.pumps:
            pump.cancel()
        for writer in self.writers:
            reset(writer)

    async def serve(self, reader, writer):
        if self.resets:
            reset(writer)
            return
        host, _, port = self.target.rpartition(":")
        self.writers.add(writer)
        task = asyncio.current_task()
        self.pumps.add(task)
        far_writer = None
        try:
            await self.open["up"].wait()
            far_reader, far_writer = await asyncio.open_connection(
                host, int(port))
            self.writers.add(far_writer)
            await self.pump_both((reader, writer), (far_reader, far_writer))
        except (OSError, asyncio.CancelledError):
            writer.transport.abort()
        finally:
            self.pumps.discard(task)
            for each in (writer, far_writer):
                if each is not None:
                    self.writers.discard(each)
                    each.close()

    async def pump_both(self, near, far):
        """Forward both ways until one side closes its connection."""
        pumps = [asyncio.create_task(self.pump(near[0], far[1], "up")),
                 asyncio.create_task(self.pump(far[0], near[1], "down"))]
        try:
            await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for pump in pumps:
                pump.cancel()
            await asyncio.gather(*pumps, return_exceptions=True)

    async def pump(self, reader, writer, way):
        while True:
            data = await reader.read(65536)
            if self.delay_s:
                await asyncio.sleep(self.delay_s)
            await self.open[way].wait()
            if not data:
                return
            writer.write(self.rewrite(data))
            await writer.drain()
