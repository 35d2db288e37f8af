"""Tests that the faults do what they are said to do, and that ends are seen."""

import asyncio
import contextlib
import itertools
import os
import random
import subprocess
import sys
import tempfile
import time
import types
import unittest
from unittest import mock

from deployment import Deployment, SoakExecutor
from faults import Faults
from gang import Gangs
from leftovers import cancel_others
from proxy import Proxy
from wire import call, free_port

SHORT_S = 0.15
RECORD = mock.Mock(**{"now_s.return_value": 1.0})


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

    async def connect(self):
        """Return what comes of a new connection through the proxy."""
        host, _, port = self.proxy.address.rpartition(":")
        try:
            self.reader, self.writer = await asyncio.open_connection(host,
                                                                     port)
            return await self.is_answered()
        except ConnectionError as error:
            return type(error)

    async def test_takes_the_store_away_and_back(self):
        for fault, seen in (("silence", False),
                            ("refuse", ConnectionRefusedError),
                            ("reset", ConnectionResetError)):
            Faults.take_away(self.proxy, fault)
            self.writer.close()
            self.assertIs(await self.connect(), seen)
            self.writer.close()
            self.proxy.heal()
            await self.proxy.start()
            self.assertIs(await self.connect(), True)


class StoreFaultTest(unittest.IsolatedAsyncioTestCase):
    """The store is away for all processes at the same time, and comes back."""

    async def test_all_at_once(self):
        proxies = [Proxy(f"p{i}-store", free_port(), "127.0.0.1:1")
                   for i in range(3)]
        for proxy in proxies:
            self.addCleanup(proxy.stop)
            await proxy.start()
        system = types.SimpleNamespace(
            record=RECORD, busy={proxies[0]}, proxies=proxies)
        faults = Faults(system, 1, 1.0, [])
        pick = types.SimpleNamespace(choice=lambda each: "refuse",
                                     uniform=lambda low, high: 0.2)
        task = asyncio.create_task(faults.disturb_store(pick))
        await asyncio.sleep(0.05)
        self.assertTrue(all(proxy.server for proxy in proxies))
        system.busy.discard(proxies[0])
        await asyncio.sleep(0.1)
        self.assertFalse(any(proxy.server for proxy in proxies))
        await task
        self.assertTrue(all(proxy.server for proxy in proxies))
        self.assertEqual(system.busy, set())
        self.assertEqual(faults.counts, {"store refuse": 1})


class ExecutorFaultTest(unittest.IsolatedAsyncioTestCase):
    """An executor that crashes or hangs is away, and its runs end or go on."""

    async def asyncSetUp(self):
        self.events = []
        self.proxies = []
        self.executor = SoakExecutor("i-0", self, types.SimpleNamespace(
            jobs={}, cpu=1000, work=lambda task, run: (None, None),
            gang_of=Gangs(3, 9.0).get), "127.0.0.1:1")
        self.executors = [self.executor]
        self.busy = set()
        await self.executor.start(first_heartbeat_s=9)

    async def asyncTearDown(self):
        self.executor.crash()
        await cancel_others()

    def record(self, kind, text):
        self.events.append((kind, text))

    def add_proxy(self, name, target):
        return target

    async def post(self, path, **body):
        return (await call(self.executor.link, "POST", path, body,
                           timeout=SHORT_S))[0]

    async def play(self, fault):
        """Start a run; return the answers amid the fault and after it."""
        self.assertEqual(await self.post("/api/run-start", Task="a.0.0.0",
                                         Run=1, DeadlineMs=5000), 200)
        pick = types.SimpleNamespace(
            choice=lambda each: fault if fault in each else each[0],
            uniform=lambda low, high: 3 * SHORT_S, random=lambda: 0)
        faults = Faults(self, 1, 1.0, [])
        playing = asyncio.create_task(faults.disturb_executor(pick))
        await asyncio.sleep(SHORT_S)
        amid = await self.post("/api/hold")
        await playing
        self.assertEqual(faults.counts, {f"executor {fault}": 1})
        return amid, await self.post("/api/hold")

    async def test_crash_and_hang(self):
        for fault, name in (("hang", "i-0"), ("crash", "i-0"),
                            ("replace", "i-0-2")):
            life = self.executor.life
            self.assertEqual(await self.play(fault), (0, 200))
            self.assertEqual(self.executor.name, name)
            self.assertIs(self.executor.life is life, fault == "hang")
            self.assertEqual(self.executor.life.running != {},
                             fault == "hang")

    async def test_a_call_waits_for_an_executor_without_power(self):
        proxy = Proxy("p", free_port(), self.executor.server.address)
        await proxy.start()
        self.find_proxy = lambda address: proxy
        pick = types.SimpleNamespace(choice=lambda each: each[0],
                                     uniform=lambda low, high: SHORT_S)
        faults = Faults(self, 1, 1.0, [])
        life = self.executor.life
        self.busy.add(self.executor)
        self.assertEqual(await faults.lose_power(pick), "nothing")
        self.busy.clear()
        playing = asyncio.create_task(faults.lose_power(pick))
        await asyncio.sleep(SHORT_S / 3)
        self.assertIsNone(self.executor.life)
        status, _ = await call(proxy.address, "POST", "/api/hold", {},
                               timeout=9 * SHORT_S)
        await playing
        proxy.stop()
        self.assertEqual(status, 200)
        self.assertIsNot(self.executor.life, life)
        self.assertEqual(self.busy, set())

    async def test_no_heartbeat_of_a_former_life(self):
        # Some versions of asyncio.wait_for() drop a cancelling that meets
        # its result, as here the one of a crash and the answer.
        for away_s in (0, SHORT_S):
            answered = asyncio.get_running_loop().create_future()
            send = mock.Mock(side_effect=lambda *args, **options:
                             asyncio.wait_for(answered, SHORT_S))
            with mock.patch("executor.call", send):
                self.executor.heartbeat_s = SHORT_S / 9
                self.executor.crash()
                await self.executor.start()
                beating = self.executor.tasks[0]
                await asyncio.sleep(SHORT_S / 9)
                answered.set_result((200, b""))
                self.executor.crash()
                await asyncio.sleep(away_s)
                await self.executor.start(first_heartbeat_s=9)
                await asyncio.wait([beating], timeout=SHORT_S)
            self.assertEqual(send.call_count, 1)
            self.assertTrue(beating.cancelled() or not beating.exception())

    async def test_lease_lapses_amid_a_hang(self):
        await self.post("/api/run-start", Task="a.0.0.0", Run=1,
                        DeadlineMs=self.executor.life.clock_ms() + 100)
        self.executor.hang(True)
        await asyncio.sleep(2 * SHORT_S)
        self.assertIn(("lapsed", "a.0.0.0 run=1 on i-0"), self.events)

    async def test_gang_that_ends_on_one_executor(self):
        for task in ("a.0.0.0", "a.0.0.1"):
            await self.post("/api/run-start", Task=task, Run=1,
                            DeadlineMs=5000)
        life = self.executor.life
        self.executor.end(life, life.running["a.0.0.0"], "stopped")
        self.assertEqual(life.running, {})
        self.assertEqual(await self.post("/api/hold", AckCursor=2), 200)


class ClockTest(unittest.IsolatedAsyncioTestCase):
    """The time of day of a process steps, and its other clocks don't."""

    CODE = """
import time
while input() != "end":
    print(time.time(), time.monotonic(), flush=True)
"""

    def ask(self):
        print(file=self.child.stdin, flush=True)
        return [float(word) for word in self.child.stdout.readline().split()]

    async def test_steps_and_is_back(self):
        with tempfile.TemporaryDirectory() as folder:
            system = Deployment(folder)
            self.child = subprocess.Popen(
                [sys.executable, "-c", self.CODE], text=True,
                stdin=subprocess.PIPE, stdout=subprocess.PIPE,
                env={**os.environ, **system.environment("side-0")})
            system.nodes = [types.SimpleNamespace(name="side-0")]
            faults = Faults(system, 1, 1.0, [])
            pick = types.SimpleNamespace(
                choice=lambda each: each[-1], random=lambda: 0,
                uniform=lambda low, high: 0)
            wall, steady = self.ask()
            set_clock = system.set_clock
            asked = []

            def set_and_ask(name, ahead_ms):
                set_clock(name, ahead_ms)
                asked.append((ahead_ms, self.ask()))

            system.set_clock = set_and_ask
            await faults.step_clock(pick)
            self.assertEqual([ahead_ms for ahead_ms, _ in asked],
                             [300 * i for i in range(1, 11)] + [0])
            for ahead_ms, clocks in asked:
                passed = clocks[1] - steady
                self.assertAlmostEqual(clocks[0] - passed - ahead_ms / 1000,
                                       wall, delta=0.1)
            self.assertEqual(faults.counts, {"clock ahead": 1})
            self.child.communicate("end\n")
            system.nodes = []
            system.stop()
            system.record.file.close()


class HangUpTest(unittest.TestCase):
    """SIGHUP reaches a process, with a changed number or without."""

    def hang_up(self, chance, logs, began=0.0):
        """Return the counts, the broken rules and the changed numbers."""
        process = mock.Mock(program="teasel-node", began=began)
        process.child.poll.return_value = None
        process.read_log.side_effect = logs
        system = mock.Mock(busy=set(), nodes=[process], schedulers=[process])
        system.find_leader.return_value = None
        system.record.now_s.side_effect = itertools.count()
        faults = Faults(system, 1, 1.0, [])
        pick = random.Random(1)
        pick.random = lambda: chance
        asyncio.run(faults.hang_up(pick))
        self.assertEqual(process.signal.called, "hup" in str(faults.counts))
        return (faults.counts, [rule for rule, _ in faults.findings],
                [sorted(made[0][0])
                 for made in process.change_settings.call_args_list])

    def test_reads_settings_or_is_reported(self):
        log = '{"event":9004,"level":"info"}'
        self.assertEqual(self.hang_up(0.9, ["", log]), ({"hup": 1}, [], []))
        self.assertEqual(self.hang_up(0.1, [log, log, 2 * log]),
                         ({"hup changed": 1}, [],
                          [["poll_wait_ms", "report_ms"]]))
        self.assertEqual(self.hang_up(0.9, itertools.repeat(log)),
                         ({"hup": 1}, ["HUP"], []))
        self.assertEqual(self.hang_up(0.9, [], time.monotonic()), ({}, [], []))


class ExitTest(unittest.TestCase):
    """A process that ends by itself is a finding, with its last lines."""

    def report(self, code, log):
        findings = []
        system = types.SimpleNamespace(record=RECORD)
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
