"""Tests that the faults do what they are said to do, and that ends are seen."""

import asyncio
import contextlib
import types
import unittest

from faults import Faults
from proxy import Proxy
from wire import free_port

SHORT_S = 0.15


async def echo(reader, writer):
    with contextlib.suppress(ConnectionError):
        while data := await reader.read(100):
            writer.write(data)
    writer.close()


class ProxyTest(unittest.IsolatedAsyncioTestCase):
    """Sends through a proxy to a server that sends all back."""

    async def asyncSetUp(self):
        port = free_port()
        self.server = await asyncio.start_server(echo, "127.0.0.1", port)
        self.proxy = Proxy("p", free_port(), f"127.0.0.1:{port}")
        await self.proxy.start()
        host, _, port = self.proxy.address.rpartition(":")
        self.reader, self.writer = await asyncio.open_connection(host, port)
        self.assertTrue(await self.is_answered())

    async def asyncTearDown(self):
        self.writer.close()
        self.proxy.stop()
        self.server.close()
        await asyncio.sleep(0.05)

    async def is_answered(self):
        self.writer.write(b"x")
        return await self.arrives()

    async def arrives(self):
        try:
            return await asyncio.wait_for(self.reader.read(1), SHORT_S) == b"x"
        except asyncio.TimeoutError:
            return False

    async def test_holds_each_way_and_goes_on(self):
        for ways in (("up",), ("down",), ("up", "down")):
            self.proxy.hold(ways)
            self.assertFalse(await self.is_answered())
            self.proxy.heal()
            self.assertTrue(await self.arrives())

    async def test_delays(self):
        self.proxy.delay_s = 2 * SHORT_S
        self.assertFalse(await self.is_answered())

    async def test_resets(self):
        self.proxy.reset()
        with self.assertRaises(ConnectionError):
            await self.reader.read(1)


class ExitTest(unittest.TestCase):
    """A process that ends by itself is a finding, with its last lines."""

    def report(self, code, log):
        findings = []
        system = types.SimpleNamespace(
            record=type("Record", (), {
                "now_s": lambda self: 1.0,
                "__call__": lambda self, kind, text: None})())
        process = types.SimpleNamespace(
            name="side-0", read_log=lambda: log,
            child=types.SimpleNamespace(poll=lambda: code, returncode=code))
        found = Faults(system, 1, 1.0, findings).report_exit(process)
        self.assertEqual(found, code is not None)
        return findings

    def test_running(self):
        self.assertEqual(self.report(None, ""), [])

    def test_ended(self):
        [(rule, text)] = self.report(1, "first\nlast\n")
        self.assertEqual(rule, "EXIT")
        self.assertIn("exit code 1\n    first\n    last", text)

    def test_address_in_use(self):
        [(_, text)] = self.report(1, '{"event":9003,"x":1}\n')
        self.assertIn("an address could not be listened on", text)


if __name__ == "__main__":
    unittest.main()
