"""Starts the programs of the deploy file and records what is observed."""

import asyncio
import json
import os
import re
import signal
import subprocess
import sys
import tempfile
import time
import traceback

from store import Store
from wire import call, free_port

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(
    os.path.abspath(__file__))))
BUILD = os.path.join(ROOT, os.environ.get("BUILD_DIR", "build"))
HOST = "host.example"
PREFIX = "/q/"
BOUNDS = {"HoldMaxMs": 6000, "StopTimeoutMs": 400}
RECORD_BYTES = 262144


def render(template, fields):
    """Fill in the placeholders that the templates of deploy/ use."""
    def value(match):
        found = fields
        for part in match.group(1).split("."):
            found = found[int(part) if part.isdigit() else part]
        return json.dumps(found) if match.group(2) else str(found)

    with open(os.path.join(ROOT, "deploy", template), encoding="utf-8") as f:
        return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", value, f.read())


class Record:
    """Writes record.txt and keeps the events for the check."""

    def __init__(self, folder):
        path = os.path.join(folder, "record.txt")
        self.file = open(path, "w", encoding="utf-8")
        self.began = time.monotonic()
        self.events = []

    def now_s(self):
        return time.monotonic() - self.began

    def __call__(self, kind, text):
        at_s = self.now_s()
        self.events.append((at_s, kind, text))
        self.file.write(f"{at_s:8.3f} {kind:8} {text}\n")
        self.file.flush()


class Process:
    """A process of the system."""

    def __init__(self, system, program, name, settings):
        self.system = system
        self.program = program
        self.name = name
        self.path = os.path.join(system.folder, f"{name}.json")
        with open(self.path, "w", encoding="utf-8") as file:
            file.write(settings)
        self.child = None
        self.began = 0.0
        self.start()

    def start(self):
        log_path = os.path.join(self.system.folder, f"{self.name}.log")
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment.update(self.system.environment(self.name))
        with open(log_path, "a", encoding="utf-8") as log:
            self.child = subprocess.Popen(
                [os.path.join(BUILD, self.program), "--config", self.path],
                cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log, stderr=log,
                env=environment)
        self.began = time.monotonic()
        self.system.record("process", f"{self.name} started")

    def signal(self, number):
        self.child.send_signal(number)
        self.system.record(
            "signal", f"{self.name} {signal.Signals(number).name}")

    def change_settings(self, numbers):
        """Replace numbers of the settings file at once."""
        with open(self.path, encoding="utf-8") as file:
            settings = json.load(file)
        settings.update(numbers)
        fresh = self.path + ".new"
        with open(fresh, "w", encoding="utf-8") as file:
            json.dump(settings, file)
        os.replace(fresh, self.path)
        self.system.record("settings", f"{self.name} {numbers}")

    def read_log(self):
        path = os.path.join(self.system.folder, f"{self.name}.log")
        with open(path, encoding="utf-8") as log:
            return log.read()


class System:
    """A small deployment with a stand-in for the store."""

    def __init__(self, folder):
        self.record = Record(folder)
        self.temporary = tempfile.TemporaryDirectory()
        self.folder = self.temporary.name
        self.store = Store()
        self.schedulers = []
        self.nodes = []

    def environment(self, name):
        """Return what a process gets in its environment besides."""
        return {}

    async def start_store(self, queue=None):
        await self.store.server.start()
        route = {
            "Name": "q", "Host": HOST, "PathPrefix": PREFIX,
            "Service": "work", "MaxAttempts": 3, "Priority": 0,
            "TargetLatencyMs": 300, "SlackFactor": 2.0, **(queue or {}),
        }
        config = {"Version": 1, "Routes": [route], "Services": [],
                  "Limits": {}}
        self.store.put("keyed.op", "config", json.dumps(config).encode())

    def fields(self, name):
        return {
            "NodeName": name, "Zone": "zone-a", "Ip": "127.0.0.1",
            "ListenAddrs": {
                kind: f"127.0.0.1:{free_port()}"
                for kind in ("Frontend", "Readiness", "Control")
            },
            "InternalPortRange": [free_port(), free_port()],
            "platform": {
                "Address": self.store.server.address,
                "RecordBytes": RECORD_BYTES,
            },
            "Limits": {"CpuShare": 0.25}, "Bounds": BOUNDS,
        }

    def start_scheduler(self, name):
        fields = self.fields(name)
        process = Process(self, "teasel-scheduler", name,
                          render("scheduler.json.in", fields))
        process.http = fields["ListenAddrs"]["Frontend"]
        process.ready = fields["ListenAddrs"]["Readiness"]
        self.schedulers.append(process)

    def start_node(self, name):
        fields = self.fields(name)
        process = Process(self, "teasel-node", name,
                          render("node.json.in", fields))
        process.control = fields["ListenAddrs"]["Control"]
        self.nodes.append(process)
        return process

    async def wait_ready(self, limit_s=15.0):
        """Return whether all schedulers are ready in time."""
        for process in self.schedulers:
            began = time.monotonic()
            while (await call(process.ready, "GET", "/api/readyz"))[0] != 200:
                if time.monotonic() - began > limit_s:
                    return False
                await asyncio.sleep(0.1)
        return True

    def find_leader(self):
        """Return the number of the scheduler that was elected last."""
        elected = [
            (json.loads(line)["steady_ms"], i)
            for i, process in enumerate(self.schedulers)
            for line in process.read_log().splitlines()
            if '"event":7004,' in line
        ]
        return max(elected)[1] if elected else None

    async def client(self, number, method, path, body=None, log=True,
                     timeout=3.0):
        """Call a scheduler as a client does; return (status, body)."""
        process = self.schedulers[number % len(self.schedulers)]
        if log:
            self.record("send", f"{method} {path} to {process.name}")
        status, answer = await call(
            process.http, method, PREFIX + path, body,
            {"host": HOST, "x-deadline-ms": "3000"}, timeout)
        if log:
            self.record("answer", f"{method} {path} from {process.name}: "
                                  f"{status} {answer.decode(errors='replace')}")
        return status, answer

    async def submit(self, number, job, body, tries=5):
        """Hand a job in, with retries at other schedulers."""
        for i in range(tries):
            status, _ = await self.client(number + i, "POST", job, body)
            if 200 <= status < 300:
                return True
            await asyncio.sleep(0.2)
        return False

    def stop(self):
        for process in self.schedulers + self.nodes:
            if process.child.poll() is None:
                process.child.kill()
            process.child.wait()
        if "KEEP_LOGS" in os.environ:
            subprocess.run(["cp", "-r", self.folder,
                            os.environ["KEEP_LOGS"]], check=False)
        self.temporary.cleanup()


# Differs from the exit code of an interpreter that fails by itself, which is 1.
EXIT_BROKEN = 10


def run_scenario(folder, play, make=System):
    """Play a scenario and exit.

    The exit code is 0 if the rule held, EXIT_BROKEN if it was broken, and 2 if
    the scenario could not run.

    play: coroutine that returns 1 if the rule was broken, else 0
    make: creates the System
    """
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(2))
    system = make(folder)
    try:
        code = asyncio.run(play(system))
    except Exception:
        traceback.print_exc()
        code = 2
    finally:
        system.stop()
    sys.exit(EXIT_BROKEN if code == 1 else code)
