"""Tests that a run which leaves something open is noticed."""

import asyncio
import sys
import unittest
import warnings

from leftovers import Errors, find_open
from wire import Server


class LeftoversTest(unittest.TestCase):
    """Leaves one thing open in an event loop of its own."""

    def setUp(self):
        self.addCleanup(setattr, sys, "unraisablehook", sys.unraisablehook)
        caught = warnings.catch_warnings()
        caught.__enter__()  # pylint: disable=unnecessary-dunder-call
        self.addCleanup(caught.__exit__, None, None, None)

    def test_server_and_connection_left_open(self):
        async def play():
            server = Server("127.0.0.1", 0, None)
            await server.start()
            kept.extend(await asyncio.open_connection(server.host,
                                                      server.port))
            await asyncio.sleep(0.05)
            return find_open()
        kept = []
        errors = Errors()
        left = asyncio.run(play())
        kept.clear()
        self.assertEqual(sorted(text.split(" ")[0] for text in left),
                         ["connection", "connection", "server", "task"])
        found = " ".join(errors.collect())
        # The connection, and the socket of the server.
        self.assertIn("unclosed transport", found)
        self.assertIn("unclosed <socket.socket", found)

    def test_error_that_nobody_awaits(self):
        async def play(errors):
            errors.watch_loop()
            asyncio.get_running_loop().call_soon(int, "x")
            await asyncio.sleep(0.01)
        errors = Errors()
        asyncio.run(play(errors))
        self.assertIn("ValueError", " ".join(errors.collect()))
