"""Tests that each check of rules.py finds its case, and none in a good run."""

import types
import unittest

from clients import TASK_CPU, Job
from gang import Gangs
from rules import check

GOOD = [(1.0, "start", "a.0.0.0 run=1 on i-0 born=1"),
        (2.0, "done", "a.0.0.0 run=1 on i-0"),
        (2.1, "noted", "a.0.0.0 run=1 on i-0 how=done")]
RUNS = [(1.0, "start", "a.0.0.0 run=1 on i-0 born=1")]


def play(calls, events, cancelled_s=None, state="completed", work_s=1.0,
         spans=(), counts=(), gang=0, places=9):
    """Return the rules that a run with one job `a` of one task breaks.

    gang: number of tasks, if they are a gang
    places: number of tasks for which an executor has room
    """
    job = Job("a", [gang or 1], work_s, 0.0, cancelled_s,
              Gangs(gang, work_s) if gang else None)
    job.calls = calls
    job.cancelled_s = cancelled_s
    clients = types.SimpleNamespace(jobs={"a": job}, counts_seen=counts,
                                    cpu=places * TASK_CPU)
    found = check(events, clients, list(spans), {"a": state})
    return sorted({rule for rule, _, _ in found})


def post(status):
    return ("POST", 0.5, 0.9, status, "{}")


def get(status, body="{}"):
    return ("GET", 1.5, 1.6, status, body)


class RulesTest(unittest.TestCase):
    """One test for each rule."""

    def test_good_run(self):
        self.assertEqual(play([post(200)], GOOD,
                              counts=[(1.0, 200, b'{"Pending":1}')]), [])
        self.assertEqual(play([post(200)], RUNS, state="running",
                              work_s=None), [])

    def test_unasked(self):
        wrong = [(1.0, "wrong", "b.0.0.0 was not sent by a client")]
        self.assertEqual(play([post(200)], GOOD + wrong), ["UNASKED"])
        late = [(9.0, *GOOD[0][1:])] + [(9.5, *GOOD[1][1:])]
        self.assertEqual(play([post(200)], late, cancelled_s=1.0,
                              state="cancelled"), ["UNASKED"])
        self.assertEqual(play([post(200)], late, cancelled_s=1.0,
                              state="cancelled", spans=[(2.0, 3.0, "")]), [])
        self.assertEqual(play([post(200)], RUNS, cancelled_s=2.0,
                              state="cancelled"), ["UNASKED"])
        self.assertEqual(play([post(200)], [], cancelled_s=2.0,
                              state="running"), ["UNASKED"])

    def test_twice(self):
        beside = [(1.5, "start", "a.0.0.0 run=2 on i-1 born=1")]
        self.assertEqual(play([post(200)], RUNS + beside + GOOD[1:]),
                         ["TWICE"])
        again = [(2.05, "start", "a.0.0.0 run=2 on i-1 born=1")]
        self.assertEqual(play([post(200)], GOOD[:2] + again + GOOD[2:]),
                         ["TWICE"])

    def test_refused(self):
        self.assertEqual(play([post(503), post(429)], GOOD), ["REFUSED"])
        self.assertEqual(play([post(503), post(0)], GOOD), [])

    def test_lost(self):
        self.assertEqual(play([post(200), get(410)], GOOD), ["LOST"])
        self.assertEqual(play([post(200), get(200, '{"State":"failed"}')],
                              GOOD), ["LOST"])
        self.assertEqual(play([post(200)], GOOD, state="unknown"), ["LOST"])
        self.assertEqual(play([post(200)], [], state="running", work_s=None),
                         ["LOST"])

    def test_mixed(self):
        self.assertEqual(play([post(200), get(200, '{"State":"completed"}')],
                              GOOD), ["MIXED"])
        self.assertEqual(play([post(200)], GOOD,
                              counts=[(1.0, 200, b'{"Pending":2}')]),
                         ["MIXED"])

    def play_gang(self, events, **options):
        """Return the rules that a job which is a gang of two breaks."""
        events = [(at_s, kind, f"a.0.0.{i} run={number} on i-{i}{rest}")
                  for at_s, kind, i, number, rest in events]
        return play([post(200)], events, gang=2, **options)

    def test_gang(self):
        whole = [(1.0, "start", 0, 1, ""), (1.1, "start", 1, 1, "")]
        done = [(2.0, "done", 0, 1, ""), (2.0, "done", 1, 1, ""),
                (2.1, "noted", 0, 1, " how=done")]
        alone = [(1.0, "start", 0, 1, ""), (20.0, "alone", 0, 1, "")]
        self.assertEqual(self.play_gang(whole + done), [])
        self.assertEqual(self.play_gang(whole), [])
        self.assertEqual(self.play_gang(whole[:1]), ["GANG"])
        self.assertEqual(self.play_gang(whole + [(2.0, "broken", 1, 1, "")]),
                         ["GANG"])
        self.assertEqual(self.play_gang(alone), ["GANG"])
        self.assertEqual(self.play_gang(alone, spans=[(14.0, 15.0, "")]), [])
        again = [(3.0, "start", 1, 2, ""), (4.0, "done", 1, 2, "")]
        self.assertEqual(self.play_gang(whole + done + again), ["TWICE"])

    def test_limit(self):
        up = [(0.1, "up", "i-0 born=1")]
        self.assertEqual(play([post(200)], up + GOOD, places=1), [])
        self.assertEqual(play([post(200)], up + GOOD, places=0), ["LIMIT"])

    def test_lost_with_room(self):
        def wait(until_s, events=(), **options):
            """Return what is broken if the task runs from a time on."""
            up = [(0.1, "up", "i-0 born=1"), (0.2, "up", "i-1 born=1")]
            later = [(until_s, *RUNS[0][1:])]
            return play([post(200)], up + list(events) + later, work_s=None,
                        state="running", **options)
        self.assertEqual(wait(9.8), [])
        self.assertEqual(wait(10.0), ["LOST"])
        self.assertEqual(wait(10.0, places=1), [])
        self.assertEqual(wait(10.0, spans=[(2.0, 3.1, "")]), [])
        self.assertEqual(wait(10.2, spans=[(2.0, 3.1, "")]), ["LOST"])
        gone = [(5.0, "crash", "i-0"), (6.0, "crash", "i-1"),
                (7.5, "up", "i-1 born=2")]
        self.assertEqual(wait(10.0, gone), [])
        self.assertEqual(wait(10.6, gone), ["LOST"])
        ran = [(1.2, *RUNS[0][1:]), (5.0, "lapsed", "a.0.0.0 run=1 on i-0")]
        self.assertEqual(wait(13.9, ran), [])
        self.assertEqual(wait(14.1, ran), ["LOST"])


if __name__ == "__main__":
    unittest.main()
