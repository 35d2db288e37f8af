#!/usr/bin/env bash
# Guards against a request that ran but is reported as not run, against a second
# run of a non-idempotent request, and against the answer of another request,
# while executors refuse requests, truncate, drop or delay answers, and agents are
# frozen or killed. Also guards against two runs for an idempotency key that is
# used at two entries at the same time.
set -euo pipefail
. "$(dirname "$0")/../../scripts/measure.sh"
start_cluster --agents 3 --entries 2 --no-workers \
    --entry-set retry_reserve=1000 --agent-set executor_timeout_ms=2000
export cluster root
python3 - <<'PYTHON'
import collections, http.client, json, os, signal, subprocess, threading
from urllib.parse import urlsplit
from urllib.request import Request, urlopen

cluster = os.environ["cluster"]
env = dict(line.strip().split("=", 1) for line in open(cluster + "/env"))
entries = [env["ENTRY_1"], env["ENTRY_2"]]
executors = [env["EXECUTOR_%d" % i] for i in (1, 2, 3)]
outcomes = {}  # request id -> "no", "unknown", or the body of the answer


def post(entry, name, body=None, headers={}):
    connection = http.client.HTTPConnection(urlsplit(entry).netloc, timeout=60)
    connection.request("POST", "/svc/previews/x", body=body or name, headers={
        **headers, "Teasel-Request-Id": name,
        "Teasel-Timeout-Ms": "30000" if name.startswith("healthy") else "1500"})
    answer = connection.getresponse()
    body = answer.read().decode()
    outcomes[name] = body if answer.status == 200 else json.loads(body)["executed"]
    connection.close()


def fault(urls, **faults):
    for url in urls:
        urlopen(Request(url + "/standin/fault", json.dumps(faults).encode())).read()


def signal_agent(number, name):
    pid = int(open("%s/pids/agent-%d" % (cluster, number)).read())
    os.kill(pid, name)


def restart_agent(number):
    signal_agent(number, signal.SIGKILL)
    subprocess.check_call([os.environ["root"] + "/scripts/localcluster", "start",
                           cluster, "agent-%d" % number])


def run(step, during=lambda: None, count=40):
    threads = [threading.Thread(target=post, args=(entries[i % 2], "%s-%d" % (step, i)))
               for i in range(count)]
    for i, thread in enumerate(threads):
        thread.start()
        if i == count // 2:
            during()
    for thread in threads:
        thread.join()
    reported = collections.Counter(v if v in ("no", "unknown") else "answered"
                                   for k, v in outcomes.items() if k.startswith(step + "-"))
    print(step, dict(reported))


def run_keyed(count):
    """Each key is used at both entries at once, in different requests."""
    threads = [threading.Thread(target=post, args=(
        entries[e], "keyed-%d-%d" % (i, e), "keyed-%d" % i, {"Idempotency-Key": "k%d" % i}))
        for i in range(count) for e in (0, 1)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


run("healthy")
run("refuse", lambda: fault(executors[:1], refuse=True))
fault(executors, refuse=False)
run("cut", lambda: fault(executors[:2], cut_after=2))
fault(executors, cut_after=0)
run("drop", lambda: fault(executors, drop_answers=4))
fault(executors, drop_answers=0)
run("slow", lambda: fault(executors[:2], delay_ms=3000))
fault(executors, delay_ms=0)
fault(executors, delay_ms=500)
run("overload", count=300)
fault(executors, delay_ms=0)
run("kill", lambda: restart_agent(1))
run("freeze", lambda: signal_agent(2, signal.SIGSTOP))
signal_agent(2, signal.SIGCONT)
run("resumed")
fault([env["LOG"]], drop_append_answers=10, double_appends=10)
run_keyed(40)

executions = collections.Counter()
for url in executors:
    stats = {"running": 1}
    while stats["running"] > 0:  # requests that timed out may still run
        stats = json.load(urlopen(url + "/standin/stats"))
    executions.update(stats["executions"])
assert "no" in outcomes.values()
for name, outcome in outcomes.items():
    if outcome == "no":
        assert executions[name] == 0, (name, "was reported as not run, but ran")
    elif outcome != "unknown":
        expected = name[:-2] if name.startswith("keyed") else name
        assert outcome == expected, (name, "got the answer", outcome)
    assert executions[name] <= 1, (name, "ran", executions[name], "times")
keyed = [executions["keyed-%d-0" % i] + executions["keyed-%d-1" % i] for i in range(40)]
print("keyed: runs for each key", dict(collections.Counter(keyed)))
assert max(keyed) == 1
assert all(v == k for k, v in outcomes.items() if k.startswith("healthy-"))
PYTHON
