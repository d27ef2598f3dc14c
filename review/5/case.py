"""A queue is sent to another service while submissions wait; see claim.txt."""

import json
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "1", "standins"))
import case as cases

WORKERS = 4
SUBMISSIONS = 16
# Answers may be two seconds old.
AGE_S = cases.BOUNDS["visible_ms"] / 1000 + 2
ASKED_S = 8
BODY = {"spec": json.dumps({"ms": [60000]}),
        "steps": [{"count": 1, "cpu": 16000, "mem_mb": 20000,
                   "estimate_ms": 60000}]}


def route(service):
    return {"name": "r-plan", "host": "ficu95.example",
            "path_prefix": "/lohu930/", "service": service, "timeout_ms": 3000,
            "priority": 2, "attempts": 2, "stretch": 4.0,
            "target_latency_ms": 3000}


def run(case):
    case.start(daemons=3, workers=WORKERS, routes=[route("fitting")],
               scanning=WORKERS)
    jobs = []
    for number in range(SUBMISSIONS):
        jobs.append(case.new_id())
        case.submit(case.daemons[number % 3], "/lohu930/" + jobs[-1], BODY)
    time.sleep(AGE_S + 1)
    if not ask(case, jobs) is None:
        raise cases.CannotRun("the count is wrong before the change")
    if cases.TROUBLE:
        case.write_config([route("scanning")])
    time.sleep(cases.BOUNDS["config_apply_ms"] / 1000 + 1)
    deadline = time.monotonic() + ASKED_S
    broken = None
    while time.monotonic() < deadline:
        broken = ask(case, jobs) or broken
        time.sleep(1)
    return broken


def ask(case, jobs):
    """Asks each daemon how many submissions wait."""
    broken = None
    for daemon in case.daemons:
        status, body = case.call(daemon.front, "GET", "/lohu930/")
        # Those without a start are looked up after the answer: there can only
        # be fewer than when it was given.
        waiting = len([job for job in jobs if not case.runs(job)])
        if status == 200 and body["pending"] < waiting / 2:
            broken = ("MIXED: %s gives %d submissions as pending, where %d "
                      "have waited for over %d s" % (
                          daemon.name, body["pending"], waiting, AGE_S))
            case.record(broken)
    return broken


if __name__ == "__main__":
    sys.exit(cases.main(HERE, run))
