"""Checks of the rules, over what clients and executors have seen."""

import json

from checks import ENDS, find_parallel_runs, get_running, split
from clients import TASK_CPU
from gang import GANG_TIMEOUT_S

CANCEL_S = 3.0
CONTACT_S = 4.0
# A task that lasts may wait, and room for it may be left, for so long, in
# times that have been calm for CALM_S.
WAIT_S = 9.0
ROOM_S = 3.0
CALM_S = 7.0


def starts(events):
    """Return (time, task) of all starts."""
    return [(at_s, split(text)[0]) for at_s, kind, text in events
            if kind == "start"]


def job_of(task):
    return task.split(".")[0]


def find_wrong_starts(events):
    return [("UNASKED", job_of(text.split(" ")[0]), f"{at_s:.3f} s: {text}")
            for at_s, kind, text in events if kind == "wrong"]


def is_calm(spans, from_s, to_s):
    return not any(began_s <= to_s and ended_s >= from_s
                   for began_s, ended_s, _ in spans)


def find_late_starts(events, jobs, spans):
    """Return starts in calm times long after the cancelling was answered."""
    found = []
    for at_s, task in starts(events):
        job = jobs.get(job_of(task))
        if (job is not None and job.cancelled_s is not None and
                at_s > job.cancelled_s + CANCEL_S and
                is_calm(spans, job.cancelled_s - CONTACT_S, at_s)):
            found.append(("UNASKED", job.id,
                          f"{at_s:.3f} s: {task} starts, though cancelling "
                          f"was answered at {job.cancelled_s:.3f} s"))
    return found


def find_cancelled_running(events, jobs):
    """Return the cancelled jobs of which something runs at the end."""
    running = {}
    for task, number, executor in get_running(events):
        running.setdefault(job_of(task), []).append(
            f"{task} run {number} on {executor}")
    return [("UNASKED", job.id,
             f"cancelled ({job.cancelled_s:.3f} s), but {len(running[job.id])}"
             f" tasks run at the end: {', '.join(running[job.id])}")
            for job in jobs.values()
            if job.cancelled_s is not None and job.id in running]


def find_cancelled_alive(jobs, states):
    """Return the cancelled jobs that are said to be alive at the end."""
    return [("UNASKED", job.id, f"cancelled ({job.cancelled_s:.3f} s), but "
                                f"its state at the end is {states[job.id]}")
            for job in jobs.values()
            if job.cancelled_s is not None and
            states.get(job.id) in ("queued", "running")]


def find_double_runs(events):
    """Return runs beside each other, and starts after a noted end `done`."""
    found = [("TWICE", job_of(text.split(" ")[2]), text)
             for text in find_parallel_runs(events)]
    noted = {split(text)[:2] for _, kind, text in events
             if kind == "noted" and text.endswith("how=done")}
    done_s = {}
    for at_s, kind, text in events:
        task = split(text)[0] if kind in ("done", "start") else None
        if kind == "done" and split(text)[:2] in noted:
            done_s.setdefault(task, at_s)
        elif kind == "start" and task in done_s:
            found.append(("TWICE", job_of(task),
                          f"{at_s:.3f} s: {text} starts after an end done at "
                          f"{done_s[task]:.3f} s that was noted"))
    return found


def find_refused_starts(events, jobs):
    return [("REFUSED", job_of(task),
             f"{at_s:.3f} s: {task} starts, though all submissions were "
             f"refused")
            for at_s, task in starts(events)
            if job_of(task) in jobs and jobs[job_of(task)].is_refused()]


def state_of(body):
    try:
        return json.loads(body).get("State")
    except (ValueError, AttributeError):
        return None


def find_wrong_answers(events, jobs):
    """Return the wrong answers to GET of jobs that nobody cancels."""
    done_s = {}
    for at_s, kind, text in events:
        if kind == "done":
            done_s.setdefault(split(text)[0], at_s)
    found = []
    for job in jobs.values():
        accepted_s = job.accepted_s()
        for sent_s, at_s, status, body in job.answers("GET"):
            state = state_of(body)
            when = f"{at_s:.3f} s (sent {sent_s:.3f}): "
            if (job.cancel_s is None and accepted_s is not None and
                    sent_s > accepted_s and
                    (status == 410 or state in ("failed", "cancelled"))):
                found.append(("LOST", job.id,
                              f"{when}answered {status} {body}, though "
                              f"accepted at {accepted_s:.3f} s"))
            if state == "completed" and any(
                    done_s.get(task, at_s) >= at_s for task in job.tasks()):
                found.append(("MIXED", job.id,
                              f"{when}completed, though not all tasks ended"))
    return found


def find_lost_jobs(events, jobs, states):
    """Return the accepted jobs that are neither done nor at work at the end."""
    running = {task for task, _, _ in get_running(events)}
    found = []
    for job in jobs.values():
        if job.accepted_s() is None or job.cancel_s is not None:
            continue
        missing = sorted(job.tasks() - running)
        state = states.get(job.id)
        if job.work_s is not None and state != "completed":
            found.append(("LOST", job.id, f"accepted, but its state at the "
                                          f"end is {state}"))
        elif job.work_s is None and (missing or state != "running"):
            found.append(("LOST", job.id, f"accepted, but at the end (state "
                                          f"{state}) these tasks don't run: "
                                          f"{', '.join(missing)}"))
    return found


def find_gangs(events, jobs, spans):
    """Return gangs that are at work in part, wait in vain or start again."""
    gangs = {job.id: job for job in jobs.values() if job.gangs is not None}
    running, done, found = {}, set(), []
    noted = {split(text)[:2] for _, kind, text in events
             if kind == "noted" and text.endswith("how=done")}
    for at_s, kind, text in events:
        job = gangs.get(job_of(text))
        if job is None or kind not in ("start", *ENDS):
            continue
        task, number, _ = split(text)
        members = running.setdefault((job.id, number), set())
        if kind == "start" and job.id in done:
            found.append(("TWICE", job.id, f"{at_s:.3f} s: {text} starts "
                                           f"after its gang was done"))
        elif (kind == "alone" and at_s < (job.cancelled_s or at_s + 1) and
              is_calm(spans, at_s - GANG_TIMEOUT_S - CONTACT_S, at_s)):
            found.append(("GANG", job.id, f"{at_s:.3f} s: {text} waited in "
                                          f"vain for the others"))
        (members.add if kind == "start" else members.discard)(task)
        if (task, number) in noted and kind == "done":
            done.add(job.id)
    return found + [
        ("GANG", job_id, f"at the end run {number} is at work in part: "
                         f"{', '.join(sorted(members))}")
        for (job_id, number), members in running.items()
        if members and members != gangs[job_id].tasks()]


class Cell:
    """What runs where, as the events tell one after the other."""

    def __init__(self, places):
        self.places = places
        self.used = {}
        self.crowded_s = {}
        self.ended_s = {}
        self.running = set()

    def has_room(self, at_s):
        """Return whether room for two was somewhere for ROOM_S."""
        return any(self.places - used >= 2 and
                   at_s - self.crowded_s[executor] >= ROOM_S
                   for executor, used in self.used.items())

    def add(self, at_s, kind, text):
        """Apply an event; return whether an executor holds too much by it."""
        if kind == "up":
            executor = text.split(" ")[0]
            self.used[executor], self.crowded_s[executor] = 0, at_s
        elif kind == "crash":
            self.used.pop(text, None)
        elif kind == "start" or kind in ENDS:
            return self.add_run(at_s, kind, *split(text))
        return False

    def add_run(self, at_s, kind, task, number, executor):
        if kind == "start":
            self.running.add((task, number, executor))
        else:
            self.running.discard((task, number, executor))
            self.ended_s[task] = at_s
        if executor not in self.used:
            return False
        if self.places - self.used[executor] < 2:
            self.crowded_s[executor] = at_s
        self.used[executor] += 1 if kind == "start" else -1
        if self.places - self.used[executor] < 2:
            self.crowded_s[executor] = at_s
        return kind == "start" and self.used[executor] > self.places


def find_full(events, clients, spans):
    """Return starts where no room was, and tasks that wait beside room.

    The latter are tasks that are to last, in calm times.
    """
    places = clients.cpu // TASK_CPU
    calm_s = max((ended_s for _, ended_s, _ in spans), default=0) + CALM_S
    lasting = [job for job in clients.jobs.values()
               if job.work_s is None and job.accepted_s() is not None]
    cell, found, lost = Cell(places), [], set()
    for at_s, kind, text in events:
        if at_s >= calm_s and cell.has_room(at_s):
            for job in lasting:
                lost |= find_waiting(job, cell, at_s)
        if cell.add(at_s, kind, text):
            found.append(("LIMIT", job_of(split(text)[0]),
                          f"{at_s:.3f} s: {text} starts, though {places} run"))
    return found + [("LOST", job_of(task), f"{task} is to last and doesn't "
                                           f"run, with room for it")
                    for task in sorted(lost)]


def find_waiting(job, cell, at_s):
    """Return the tasks of a job that have not run for WAIT_S."""
    deletes = [sent_s for sent_s, *_ in job.answers("DELETE")]
    if job.accepted_s() > at_s - WAIT_S or min(deletes, default=at_s) < at_s:
        return set()
    running = {task for task, _, _ in cell.running}
    return {task for task in job.tasks() - running
            if cell.ended_s.get(task, 0) <= at_s - WAIT_S}


def find_counts(counts, jobs):
    """Return the answered numbers of pending jobs that cannot be."""
    found = []
    for at_s, status, body in counts:
        pending = json.loads(body).get("Pending") if status == 200 else 0
        if not 0 <= pending <= len(jobs):
            found.append(("MIXED", "", f"{at_s:.3f} s: {pending} jobs are "
                                       f"said to be pending"))
        if status in (404, 410):
            found.append(("CONFIG", "", f"{at_s:.3f} s: the queue's count is "
                                        f"answered {status}"))
    return found


def check(events, clients, spans, states):
    """Return the broken rules as (rule, job, text)."""
    jobs = clients.jobs
    return (find_wrong_starts(events) +
            find_late_starts(events, jobs, spans) +
            find_cancelled_running(events, jobs) +
            find_cancelled_alive(jobs, states) +
            find_double_runs(events) +
            find_refused_starts(events, jobs) +
            find_wrong_answers(events, jobs) +
            find_lost_jobs(events, jobs, states) +
            find_gangs(events, jobs, spans) +
            find_full(events, clients, spans) +
            find_counts(clients.counts_seen, jobs))
