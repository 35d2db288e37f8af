"""Guards against a job that stays running for ever after its gang has ended.

A gang ends while the agents of its two executors are down; one executor
crashes, and its loss is processed before the end of the other member.
"""

import asyncio
import json
import signal

from case import (IDLE_S, TROUBLE, conclude, find_missed_steps, run_case,
                  start_deployment)
from checks import find_idle_jobs, split
from gang import Gangs

JOB_ID = "00000000000000a1"
GANG_STEP = f"{JOB_ID}.0.0."
GANG_JOB = {"Spec": "text", "Phases": [
    {"Count": 2, "Cpu": 500, "MemMb": 256, "EstimatedMs": 3000, "Gang": True,
     "AntiAffinity": 1},
    {"Count": 2, "Cpu": 500, "MemMb": 256, "EstimatedMs": 500, "After": [0]}]}
GANG_S = 3.0
SINGLE_WORK_S = 0.5
FINISH_S = 14.0


def find_gang(events, kind, end=""):
    """Return the executors of the gang's events of one kind, in order."""
    return [split(text)[2] for _, found, text in events
            if found == kind and text.startswith(GANG_STEP) and
            text.endswith(end)]


async def kill(node, down_s):
    node.signal(signal.SIGKILL)
    node.child.wait()
    await asyncio.sleep(down_s)
    node.start()


async def crash(executor, down_s):
    executor.crash()
    await asyncio.sleep(down_s)
    await executor.start(name=f"{executor.name}-b")


async def disturb(system, executors):
    """Disturb two members, with 3 s for their work from about now."""
    while len(find_gang(system.record.events, "start")) < 2:
        await asyncio.sleep(0.02)
    first, second = (int(name[2:]) for name in
                     find_gang(system.record.events, "start")[:2])
    await asyncio.sleep(GANG_S - 1.5)
    # The agent of the second member is down from 1.5 s before the end of the
    # gang to 1.5 s after it, that of the first one from 0.3 s before it to
    # 2.7 s after it.
    kills = [asyncio.create_task(kill(system.nodes[second], 3.0))]
    await asyncio.sleep(1.2)
    kills.append(asyncio.create_task(kill(system.nodes[first], 3.0)))
    await asyncio.sleep(0.6)
    await crash(executors[second], 0.5)
    await asyncio.gather(*kills)


def find_missed(events):
    """Return what was not exercised, with the first run of the gang."""
    members = find_gang(events, "start")[:2]
    if len(members) < 2:
        return ["the gang did not start"]
    first, second = members
    missed = find_missed_steps(events, [
        ("signal", f"side-{second[2:]} ", "SIGKILL"),
        ("signal", f"side-{first[2:]} ", "SIGKILL"),
        ("crash", second, ""),
        ("process", f"side-{second[2:]} ", "started"),
        ("process", f"side-{first[2:]} ", "started"),
        ("noted", GANG_STEP, f"on {first} how=done"),
    ])
    if sorted(find_gang(events, "done")[:2]) != sorted(members):
        missed.append("not both members ended done")
    if second in find_gang(events, "noted", "how=done"):
        missed.append(f"the end on {second} was taken note of")
    return missed


async def play(system):
    gangs = Gangs(2, GANG_S)
    executors = await start_deployment(
        system, SINGLE_WORK_S,
        lambda task, run: (
            gangs.get(task, run) if task.split(".")[2] == "0" else None))
    if executors is None:
        return 2
    if not await system.submit(0, JOB_ID, GANG_JOB):
        print("the job was not accepted")
        return 2
    if TROUBLE:
        await disturb(system, executors)
    await asyncio.sleep(GANG_S + FINISH_S + IDLE_S)
    missed = find_missed(system.record.events)
    print(f"{len(missed)} steps not exercised")
    status, answer = await system.client(0, "GET", JOB_ID)
    if status == 200 and json.loads(answer)["State"] == "completed":
        return conclude(system, "LOST", [], missed)
    now_s = system.record.now_s()
    idle = find_idle_jobs(system.record.events, [JOB_ID], now_s - IDLE_S)
    return conclude(system, "LOST", [
        f"{now_s:.3f} s: {job} has had no running task for {IDLE_S} s"
        for job in idle], missed)


if __name__ == "__main__":
    run_case(play)
