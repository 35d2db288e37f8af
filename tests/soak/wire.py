"""HTTP/1.1 server and client on asyncio, as small as the stand-ins need."""

import asyncio
import itertools
import json
import os
import socket

# Ports lie below the range that outgoing connections use. Programs that run at
# the same time take different slots of them.
FIRST_PORT = int(os.environ.get("TEST_PORT_BASE", "20000")) + 2000
SLOT_COUNT = 4
PORTS_PER_SLOT = 400


def slot_ports():
    """Yield the ports of a free slot; its first port guards it until exit."""
    for slot in range(SLOT_COUNT):
        first = FIRST_PORT + slot * PORTS_PER_SLOT
        with socket.socket() as guard:
            try:
                guard.bind(("127.0.0.1", first))
                guard.listen()
            except OSError:
                continue
            yield from itertools.cycle(range(first + 1,
                                             first + PORTS_PER_SLOT))
    raise OSError("no free ports: too many soaks run at the same time")


PORTS = slot_ports()


def free_port():
    """Return a port of the slot that nothing listens on."""
    for port in itertools.islice(PORTS, PORTS_PER_SLOT):
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind(("127.0.0.1", port))
                return port
            except OSError:
                continue
    raise OSError("no free port in the slot")


class Request:
    """A request that a server has received."""

    def __init__(self, method, target, headers, body):
        self.method = method
        self.path, _, query = target.partition("?")
        self.query = dict(
            pair.partition("=")[::2] for pair in query.split("&") if pair
        )
        self.headers = headers
        self.body = body

    def json(self):
        """Return the body as an object, or None if it is malformed."""
        try:
            value = json.loads(self.body)
        except ValueError:
            return None
        return value if isinstance(value, dict) else None


async def read_head(reader):
    """Return the first line and the headers, or None at the end."""
    line = await reader.readline()
    if not line:
        return None
    headers = {}
    while True:
        header = await reader.readline()
        if header in (b"\r\n", b"\n", b""):
            break
        name, _, value = header.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    return line.decode("latin-1").strip(), headers


class Server:
    """Serves requests with a handler, which returns (status, body).

    The handler returns None to leave the request without an answer: the
    connection then stays open and returns nothing further.
    """

    def __init__(self, host, port, handler):
        self.host = host
        self.port = port
        self.handler = handler
        self.server = None
        self.writers = set()

    @property
    def address(self):
        return f"{self.host}:{self.port}"

    async def start(self):
        self.server = await asyncio.start_server(
            self.serve, self.host, self.port
        )
        self.port = self.server.sockets[0].getsockname()[1]

    def abort(self):
        """Close the listener and reset all connections."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while await self.serve_one(reader, writer):
                pass
        except (ConnectionError, asyncio.IncompleteReadError, OSError):
            pass
        except asyncio.CancelledError:
            # At the end of a run. Some versions of the interpreter report a
            # connection whose task is cancelled as an error of the loop.
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def serve_one(self, reader, writer):
        head = await read_head(reader)
        if head is None:
            return False
        line, headers = head
        method, target, _ = line.split(" ", 2)
        length = int(headers.get("content-length", "0"))
        body = await reader.readexactly(length) if length else b""
        answer = await self.handler(Request(method, target, headers, body))
        if answer is None:
            await reader.read()
            return False
        status, content = answer
        if not isinstance(content, bytes):
            content = json.dumps(content).encode()
        writer.write(
            f"HTTP/1.1 {status} X\r\ncontent-type: application/json\r\n"
            f"content-length: {len(content)}\r\n\r\n".encode() + content
        )
        await writer.drain()
        return headers.get("connection", "").lower() != "close"


async def call(address, method, target, body=None, headers=None, timeout=3.0):
    """Send one request on a connection of its own.

    Return (status, body), or (0, b"") if there was no complete answer.
    """
    try:
        return await asyncio.wait_for(
            exchange(address, method, target, body, headers or {}), timeout
        )
    except (OSError, asyncio.TimeoutError, ValueError, IndexError,
            asyncio.IncompleteReadError):
        return 0, b""


async def exchange(address, method, target, body, headers):
    host, _, port = address.rpartition(":")
    content = b"" if body is None else body
    if not isinstance(content, bytes):
        content = json.dumps(content).encode()
    lines = [f"{method} {target} HTTP/1.1"]
    fields = {
        "host": address,
        "content-type": "application/json",
        "content-length": str(len(content)),
        "connection": "close",
        **headers,
    }
    lines += [f"{name}: {value}" for name, value in fields.items()]
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + content)
        await writer.drain()
        head = await read_head(reader)
        if head is None:
            raise ConnectionError("closed without an answer")
        line, received = head
        length = int(received.get("content-length", "0"))
        return int(line.split(" ")[1]), await reader.readexactly(length)
    finally:
        writer.transport.abort()
