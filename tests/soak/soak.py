#!/usr/bin/env python3
"""Randomized soak of the real programs with faults from outside.

Starts schedulers, agents and executors on the loopback interface, pauses,
kills and restarts the processes, disturbs their connections through proxies,
and checks the rules from what clients and executors saw. The seed fixes the
load and the plan of the faults; the timing of the processes differs from run
to run, so that a race may show in some runs of a seed only.

Exit code: 0 if all rules held, 1 if one was broken, 2 if it could not run.
"""

import argparse
import asyncio
import os
import shutil
import signal
import sys
import tempfile
import traceback

from checks import get_running
from clients import TASK_CPU, Caller, Clients
from deployment import Deployment
from faults import Faults
from leftovers import Errors, cancel_others, find_open
from rules import check, state_of

SETTLE_S = 12.0
EMPTY_S = 9.0  # from the end of a full cell until all that fits has to run
FINISH_S = 20.0
SEEDS = os.path.join(os.path.dirname(os.path.abspath(__file__)), "seeds.txt")


def find_room_left(system, clients):
    """Return a finding if the cell that is to be full is not."""
    running = len(get_running(system.record.events))
    places = clients.cpu // TASK_CPU
    print(f"full cell: {running} runs in {len(system.executors)} x {places} "
          f"places")
    if running >= len(system.executors) * (places - 1):
        return []
    return [("FULL", f"only {running} runs in {len(system.executors)} x "
                     f"{places} places")]


async def ask_states(system, clients):
    """Return the states of all jobs at the end."""
    states = {}
    caller = Caller(system, False)
    for job in clients.jobs.values():
        for _ in range(5):
            status = await clients.call(caller, job, "GET",
                                        clients.pick_scheduler())
            if status in (200, 410):
                states[job.id] = (state_of(job.calls[-1][4])
                                  if status == 200 else "unknown")
                break
    return states


def is_finished(job):
    """Return whether nothing more is expected of a job."""
    return (job.work_s is None or job.cancel_s is not None or
            job.accepted_s() is None or
            any(state_of(body) == "completed"
                for _, _, _, body in job.answers("GET")))


async def wait_finished(system, clients):
    """Wait for the jobs that end by themselves, for a limited time."""
    caller = Caller(system, False)
    end_s = system.record.now_s() + FINISH_S
    while system.record.now_s() < end_s:
        waiting = [job for job in clients.jobs.values()
                   if not is_finished(job)]
        if not waiting:
            return
        for job in waiting:
            await clients.call(caller, job, "GET", clients.pick_scheduler())
        await asyncio.sleep(0.5)


async def play(system, options, seed):
    """Play one seed; return the findings, or None if it could not run."""
    findings = []
    clients = Clients(system, seed, options.seconds)
    faults = Faults(system, seed, options.seconds, findings)
    if not await system.start(options.schedulers, options.agents, clients):
        return None
    system.record("note", f"seed {seed}: all schedulers are ready")
    watching = asyncio.create_task(faults.watch_exits())
    await asyncio.gather(faults.play(), clients.play_all())
    system.record("note", "faults and clients have ended")
    await asyncio.sleep(SETTLE_S)
    if clients.filling:
        findings += find_room_left(system, clients)
        await clients.cancel_filling()
        await asyncio.sleep(EMPTY_S)
    await wait_finished(system, clients)
    states = await ask_states(system, clients)
    watching.cancel()
    cancelled = sum(job.cancelled_s is not None
                    for job in clients.jobs.values())
    print(f"seed {seed}: {len(clients.jobs)} jobs, {cancelled} cancelled, "
          f"faults {faults.counts}")
    broken = check(list(system.record.events), clients, faults.spans, states)
    return [(rule, "", text) for rule, text in findings] + broken


async def play_and_end(system, options, seed, errors):
    """Play one seed and end all parts within the event loop."""
    errors.watch_loop()
    try:
        return await play(system, options, seed)
    finally:
        await system.end()
        await cancel_others()
        errors.found += [f"left open: {text}" for text in find_open()]


def print_findings(findings, events):
    """Print the findings, each job's trace once."""
    traced = set()
    for rule, job_id, text in findings:
        print(f"  {rule} {job_id}: {text}")
    for rule, job_id, _ in findings:
        if job_id in traced or not job_id:
            continue
        traced.add(job_id)
        print(f"  trace of {job_id}:")
        for at_s, kind, text in events:
            if job_id in text:
                print(f"    {at_s:8.3f} {kind:8} {text}")


def keep_logs(system, folder, target):
    """Copy the record and the logs of a run."""
    shutil.copytree(system.folder, target, dirs_exist_ok=True)
    shutil.copy(os.path.join(folder, "record.txt"), target)


def run_seed(options, seed):
    """Play one seed; return its exit code."""
    with tempfile.TemporaryDirectory() as folder:
        system = Deployment(folder)
        findings = None
        errors = Errors()
        try:
            findings = asyncio.run(
                play_and_end(system, options, seed, errors))
            if findings is not None:
                findings += [("LEFT", "", text) for text in errors.collect()]
        except Exception:
            traceback.print_exc()
        finally:
            if findings != [] and options.keep:
                keep_logs(system, folder,
                          os.path.join(options.keep, f"seed-{seed}"))
            system.stop()
        if findings is None:
            print(f"seed {seed}: could not run")
            return 2
        rules = sorted({rule for rule, _, _ in findings})
        print(f"seed {seed}: {'broken: ' + ' '.join(rules) if rules else 'ok'}",
              flush=True)
        print_findings(findings, system.record.events)
        return 1 if findings else 0


def read_seeds():
    """Return the seeds that failed once."""
    with open(SEEDS, encoding="utf-8") as file:
        return [int(line.split()[0]) for line in file
                if line.strip() and not line.startswith("#")]


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--runs", type=int, default=1,
                        help="number of seeds to play, from --seed on")
    parser.add_argument("--regressions", action="store_true",
                        help="play the seeds of seeds.txt instead")
    parser.add_argument("--seconds", type=float, default=25.0,
                        help="length of the load and the faults")
    parser.add_argument("--keep", help="folder for the logs of failed runs")
    parser.add_argument("--schedulers", type=int, default=3)
    parser.add_argument("--agents", type=int, default=11)
    options = parser.parse_args()
    seeds = (read_seeds() if options.regressions
             else range(options.seed, options.seed + options.runs))
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(2))
    codes = [run_seed(options, seed) for seed in seeds]
    sys.exit(1 if 1 in codes else max(codes, default=0))


if __name__ == "__main__":
    main()
