"""Gangs of runs that work together on several executors (PROTOCOL.md)."""

import asyncio

GANG_TIMEOUT_S = 3.0


class Gang:
    """The members of one run of a gang.

    The work begins when all members are present. They end together.
    """

    def __init__(self, count, work_s):
        self.count = count
        self.work_s = work_s
        self.members = []
        self.timer = None

    def join(self, executor, life, run):
        self.members.append((executor, life, run))
        if self.timer is not None:
            self.timer.cancel()
        complete = len(self.members) == self.count
        delay_s = self.work_s if complete else GANG_TIMEOUT_S
        self.timer = asyncio.get_running_loop().call_later(
            delay_s, self.end, "done" if complete else "alone")

    def leave(self, run):
        """End the other members, as one has ended before the others."""
        if any(run is member[2] for member in self.members):
            self.members = [m for m in self.members if m[2] is not run]
            self.end("broken")

    def end(self, how):
        self.timer.cancel()
        members, self.members = self.members, []
        for executor, life, run in members:
            executor.end(life, run, how)


class Gangs:
    """All gangs of a scenario. Its steps have one count and one work time."""

    def __init__(self, count, work_s):
        self.count = count
        self.work_s = work_s
        self.gangs = {}

    def get(self, task, number):
        key = (task.rpartition(".")[0], number)
        return self.gangs.setdefault(key, Gang(self.count, self.work_s))
