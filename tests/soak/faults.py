"""Seeded faults of processes and connections, in series that overlap."""

import asyncio
import random
import signal
import time

LEAVE_S = 10.0
PROCESS_FAULTS = ("pause", "pause", "pause", "kill", "term")
STORE_FAULTS = ("silence", "refuse", "reset")
EXECUTOR_FAULTS = ("crash", "replace", "hang")
# Bounds of the numbers that change before SIGHUP.
NUMBERS = {
    "teasel-scheduler": {"status_ms": (100, 300), "silence_ms": (600, 1200)},
    "teasel-node": {"report_ms": (300, 700), "poll_wait_ms": (100, 900)},
}
HANDLER_S = 2.0  # a process surely handles SIGHUP after so long
RELOAD_S = 5.0
# Steps of a clock, and milliseconds of each.
CLOCK_STEPS = ((1, 15000), (10, 300))
LINK_FAULTS = ("delay", "reset", "up", "down", "silence")
# Lanes of process faults and of link faults; each disturbs one thing at a time.
LANES = ((3, 0), (2, 2), (1, 4))
# Pause before a fault of a lane, and of one whose faults disturb all at once.
PAUSE_S = (0.05, 1.2)
LONG_PAUSE_S = (2.0, 12.0)
SETTINGS_RELOADED = '"event":9004,'
ADDRESS_IN_USE = '"event":9003,'


class Faults:
    """Disturbs a deployment until its time is over.

    findings: list of (rule, text), extended with processes that end by
        themselves
    """

    def __init__(self, system, seed, seconds, findings):
        self.system = system
        self.seed = seed
        self.seconds = seconds
        self.findings = findings
        self.spans = []
        self.counts = {}

    async def play(self):
        """Play all lanes; in the end all is healed and runs."""
        signals, links = LANES[self.seed % len(LANES)]
        lanes = [self.play_lane(i, self.disturb_process)
                 for i in range(signals)]
        lanes += [self.play_lane(10 + i, self.disturb_link)
                  for i in range(links)]
        lanes.append(self.play_lane(20, self.disturb_store, LONG_PAUSE_S))
        lanes.append(self.play_lane(30, self.disturb_executor))
        lanes.append(self.play_lane(40, self.hang_up))
        lanes.append(self.play_lane(50, self.lose_power))
        lanes.append(self.play_lane(60, self.step_clock))
        await asyncio.gather(*lanes)

    async def play_lane(self, lane, disturb, pause_s=PAUSE_S):
        pick = random.Random(f"faults {self.seed} {lane}")
        end_s = self.system.record.now_s() + self.seconds
        while self.system.record.now_s() < end_s:
            await asyncio.sleep(pick.uniform(*pause_s))
            began_s = self.system.record.now_s()
            what = await disturb(pick)
            self.spans.append((began_s, self.system.record.now_s(), what))

    def count(self, fault):
        self.counts[fault] = self.counts.get(fault, 0) + 1

    def pick_process(self, pick):
        """Pick a process that nothing else disturbs, the leader most often."""
        leader = self.system.find_leader()
        kind = pick.random()
        pool = self.system.nodes
        if kind < 0.7:
            pool = self.system.schedulers
        if kind < 0.45 and leader is not None:
            pool = [self.system.schedulers[leader]]
        free = [each for each in pool if each not in self.system.busy]
        return pick.choice(free) if free else None

    async def disturb_process(self, pick):
        process = self.pick_process(pick)
        fault = pick.choice(PROCESS_FAULTS)
        seconds = pick.choice((pick.uniform(0.3, 1.5), pick.uniform(0.3, 7)))
        if process is None:
            return "nothing"
        self.system.busy.add(process)
        self.count(fault)
        try:
            await getattr(self, fault)(process, seconds)
        finally:
            self.system.busy.discard(process)
        return f"{fault} {process.name}"

    async def pause(self, process, seconds):
        process.signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        process.signal(signal.SIGCONT)

    async def kill(self, process, seconds):
        self.report_exit(process)
        process.signal(signal.SIGKILL)
        process.child.wait()
        await asyncio.sleep(seconds / 3)
        process.start()

    async def term(self, process, seconds):
        self.report_exit(process)
        process.signal(signal.SIGTERM)
        for _ in range(int(LEAVE_S / 0.02)):
            if process.child.poll() is not None:
                break
            await asyncio.sleep(0.02)
        else:
            self.system.record("note", f"{process.name} is killed, as it did "
                                       f"not leave in {LEAVE_S} s")
            process.signal(signal.SIGKILL)
            process.child.wait()
        if process.child.returncode > 0:
            self.report(process, "after SIGTERM")
        await asyncio.sleep(seconds / 3)
        process.start()

    def pick_proxies(self, pick):
        """Pick a link, or all links of the leader."""
        free = [each for each in self.system.proxies
                if each not in self.system.busy]
        leader = self.system.find_leader()
        whole = pick.random() < 0.3
        if whole and leader is not None:
            name = self.system.schedulers[leader].name
            return [each for each in free if each.name.startswith(f"{name}-")]
        # The few links of the schedulers are disturbed as often as all others.
        few = [each for each in free if each.name.startswith("frontend")]
        return [pick.choice(few if few and pick.random() < 0.5 else free)]

    async def disturb_link(self, pick):
        proxies = self.pick_proxies(pick)
        fault = pick.choice(LINK_FAULTS)
        seconds = pick.choice((pick.uniform(0.1, 1.5), pick.uniform(0.3, 7)))
        delay_s = pick.uniform(0.02, 0.8)
        resets = pick.random() < 0.5
        names = " ".join(proxy.name for proxy in proxies)
        self.system.busy.update(proxies)
        self.count(fault)
        self.system.record("link", f"{names} {fault} for {seconds:.2f} s")
        for proxy in proxies:
            self.begin_link_fault(proxy, fault, delay_s)
        if fault != "reset":
            await asyncio.sleep(seconds)
        for proxy in proxies:
            proxy.heal()
            if resets:
                proxy.reset()
        self.system.busy.difference_update(proxies)
        self.system.record("link", f"{names} healed")
        return f"{fault} {names}"

    @staticmethod
    def begin_link_fault(proxy, fault, delay_s):
        if fault == "reset":
            proxy.reset()
        elif fault == "delay":
            proxy.delay_s = delay_s
        else:
            proxy.hold(("up", "down") if fault == "silence" else (fault,))

    async def disturb_store(self, pick):
        """Take the store away from all processes at once."""
        fault = pick.choice(STORE_FAULTS)
        seconds = pick.uniform(0.3, 7)
        proxies = [each for each in self.system.proxies
                   if each.name.endswith("-store")]
        waiting = set(proxies)
        while waiting:
            free = waiting - self.system.busy
            self.system.busy.update(free)
            waiting -= free
            await asyncio.sleep(0.02)
        self.count(f"store {fault}")
        self.system.record("link", f"the store is away for {seconds:.2f} s: "
                                   f"{fault}")
        for proxy in proxies:
            self.take_away(proxy, fault)
        await asyncio.sleep(seconds)
        for proxy in proxies:
            proxy.heal()
            await proxy.start()
        self.system.busy.difference_update(proxies)
        self.system.record("link", "the store is back")
        return f"store {fault}"

    @staticmethod
    def take_away(proxy, fault):
        if fault == "silence":
            proxy.hold(("up", "down"))
        elif fault == "refuse":
            proxy.refuse()
        else:
            proxy.resets = True
            proxy.reset()

    async def disturb_executor(self, pick):
        executor = pick.choice(self.system.executors)
        fault = pick.choice(EXECUTOR_FAULTS)
        if executor in self.system.busy:
            return "nothing"
        self.system.busy.add(executor)
        self.count(f"executor {fault}")
        if fault == "hang":
            executor.beats = pick.random() < 0.5
            executor.hang(True)
            await asyncio.sleep(pick.uniform(0.3, 7))
            executor.hang(False)
        else:
            executor.crash()
            await asyncio.sleep(pick.uniform(0.2, 3))
            await executor.start(name=executor.next_name()
                                 if fault == "replace" else None)
        self.system.busy.discard(executor)
        return f"{fault} {executor.name}"

    async def lose_power(self, pick):
        """Take an executor away with its link, and start it under its id.

        Calls that are sent meanwhile wait, and reach the next incarnation.
        """
        executor = pick.choice(self.system.executors)
        seconds = pick.uniform(0.2, 1.4)
        proxy = self.system.find_proxy(executor.link)
        if self.system.busy & {executor, proxy}:
            return "nothing"
        self.system.busy.update({executor, proxy})
        self.count("executor without power")
        proxy.hold(("up", "down"))
        executor.crash()
        await asyncio.sleep(seconds)
        await executor.start(first_heartbeat_s=pick.uniform(0.05, 0.4))
        proxy.heal()
        self.system.busy.difference_update({executor, proxy})
        return f"without power {executor.name}"

    async def step_clock(self, pick):
        """Let the clock of a process step ahead or back, and home again."""
        leader = self.system.find_leader()
        process = pick.choice(self.system.processes())
        if pick.random() < 0.4 and leader is not None:
            process = self.system.schedulers[leader]
        steps, step_ms = pick.choice(CLOCK_STEPS)
        sign = pick.choice((-1, 1))
        seconds = pick.uniform(0.3, 7)
        self.count("clock ahead" if sign > 0 else "clock back")
        for i in range(1, steps + 1):
            self.system.set_clock(process.name, sign * i * step_ms)
            await asyncio.sleep(seconds / steps)
        self.system.set_clock(process.name, 0)
        return f"clock {process.name}"

    async def hang_up(self, pick):
        """Send SIGHUP, after a change of the settings half of the time."""
        process = self.pick_process(pick)
        changes = pick.random() < 0.5
        if (process is None or process.child.poll() is not None or
                time.monotonic() < process.began + HANDLER_S):
            return "nothing"
        self.system.busy.add(process)
        self.count("hup changed" if changes else "hup")
        try:
            if changes:
                process.change_settings({
                    key: pick.randint(*bounds)
                    for key, bounds in NUMBERS[process.program].items()})
            await self.reload(process)
        finally:
            self.system.busy.discard(process)
        return f"hup {process.name}"

    async def reload(self, process):
        """Send SIGHUP and wait until the settings are read."""
        count = process.read_log().count(SETTINGS_RELOADED)
        end_s = self.system.record.now_s() + RELOAD_S
        process.signal(signal.SIGHUP)
        while process.child.poll() is None:
            if process.read_log().count(SETTINGS_RELOADED) > count:
                return
            if self.system.record.now_s() > end_s:
                self.findings.append(("HUP", f"{process.name} did not read "
                                             f"its settings in {RELOAD_S} s"))
                return
            await asyncio.sleep(0.02)

    async def watch_exits(self):
        """Report and restart processes that ended by themselves."""
        while True:
            await asyncio.sleep(0.2)
            for process in self.system.processes():
                if (process not in self.system.busy and
                        self.report_exit(process)):
                    process.start()

    def report_exit(self, process):
        """Return whether a process has ended by itself; report it if so."""
        if process.child.poll() is None:
            return False
        self.report(process, "by itself")
        return True

    def report(self, process, when):
        lines = process.read_log().splitlines()[-12:]
        cause = ""
        if any(ADDRESS_IN_USE in line for line in lines[-3:]):
            cause = "; an address could not be listened on"
        text = (f"{process.name} ended {when} at "
                f"{self.system.record.now_s():.3f} s with exit code "
                f"{process.child.returncode}{cause}")
        self.system.record("exit", text)
        self.findings.append(("EXIT", "\n    ".join([text] + lines)))
