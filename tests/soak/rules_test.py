"""Tests that each check of rules.py finds its case, and none in a good run."""

import types
import unittest

from clients import Job
from gang import Gangs
from rules import check

GOOD = [(1.0, "start", "a.0.0.0 run=1 on i-0 born=1"),
        (2.0, "done", "a.0.0.0 run=1 on i-0"),
        (2.1, "noted", "a.0.0.0 run=1 on i-0 how=done")]
RUNS = [(1.0, "start", "a.0.0.0 run=1 on i-0 born=1")]


def play(calls, events, cancelled_s=None, state="completed", work_s=1.0,
         spans=(), counts=(), gang=0):
    """Return the rules that a run with one job `a` of one task breaks."""
    job = Job("a", [gang or 1], work_s, 0.0, cancelled_s,
              Gangs(gang, work_s) if gang else None)
    job.calls = calls
    job.cancelled_s = cancelled_s
    clients = types.SimpleNamespace(jobs={"a": job}, counts_seen=counts)
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


if __name__ == "__main__":
    unittest.main()
