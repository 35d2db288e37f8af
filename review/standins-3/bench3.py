"""Runs the programs of the deploy file for a case of the third review.

Uses the stand-ins of tests/soak for the store and the executors.
"""

import asyncio
import os
import signal
import subprocess
import sys
import time
import tomllib
import traceback

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(
    os.path.abspath(__file__))))
# The programs are those that the build of the deploy file makes.
os.environ["BUILD_DIR"] = "target"
sys.path.insert(0, os.path.join(ROOT, "tests", "soak"))

import system as soak  # noqa: E402
from executor import Executor  # noqa: E402

# "Bounds" of the site files: leafpress-gh.
BOUNDS = {"HoldMaxMs": 10000, "StopTimeoutMs": 900, "RemoteFactor": 1.5}
HELD, BROKEN, NOT_RUN = 0, 1, 2


def trouble():
    """Return whether the disruption is to be played."""
    return os.environ.get("TROUBLE", "1") != "0"


def read_commands():
    """Return the words of each role's command in deploy/system.toml."""
    with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
        roles = tomllib.load(file)["roles"].values()
    commands = [role["run"].split() for role in roles]
    return {os.path.basename(words[0]): words for words in commands}


class Process(soak.Process):
    """A process that is started with its command of the deploy file."""

    def start(self):
        words = read_commands()[self.program]
        words[words.index("--config") + 1] = self.path
        words = [word.replace("{{Bounds.RemoteFactor}}",
                              str(BOUNDS["RemoteFactor"])) for word in words]
        environment = {name: os.environ[name]
                       for name in ("PATH", "HOME", "LANG")
                       if name in os.environ}
        environment.update(self.system.environment(self.name))
        log_path = os.path.join(self.system.folder, f"{self.name}.log")
        with open(log_path, "a", encoding="utf-8") as log:
            self.child = subprocess.Popen(
                words, cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log,
                stderr=log, env=environment)
        self.began = time.monotonic()
        self.system.record("process", f"{self.name} started")


soak.Process = Process
soak.BOUNDS = BOUNDS


class WorkExecutor(Executor):
    """An executor with labels of its own."""

    HOLD_MAX_MS = BOUNDS["HoldMaxMs"]

    def __init__(self, *args, labels=("a", "r1"), **options):
        super().__init__(*args, **options)
        self.labels = list(labels)

    def describe(self):
        return {**super().describe(), "Labels": self.labels}


def run_case(folder, play, make=soak.System):
    """Play a case and exit: 0 the rule held, 1 it was broken, 2 not run."""
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(NOT_RUN))
    try:
        case = make(folder)
    except Exception:
        traceback.print_exc()
        sys.exit(NOT_RUN)
    code = NOT_RUN
    try:
        code = asyncio.run(play(case))
    except Exception:
        traceback.print_exc()
    finally:
        case.stop()
    sys.exit(code)


async def start(case, schedulers, executors, queue=None):
    """Start a deployment; return whether it is ready.

    executors: called with the control address of an agent and its number,
        once for each agent; returns its executor
    """
    count, make = executors
    await case.start_store(queue)
    for i in range(schedulers):
        case.start_scheduler(f"frontend-{i}")
    case.executors = []
    for i in range(count):
        node = case.start_node(f"side-{i}")
        case.executors.append(make(node.control, i))
    for executor in case.executors:
        await executor.start()
    ready = await case.wait_ready()
    await asyncio.sleep(2.0)  # all executors are known
    return ready
