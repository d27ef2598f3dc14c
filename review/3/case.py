"""A route goes while its submissions run, and the owner's process is killed;
see claim.txt."""

import json
import os
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "1", "standins"))
import case as cases

ATTEMPTS = 4


def route(name, prefix):
    return {"name": name, "host": "ficu95.example", "path_prefix": prefix,
            "service": "fitting", "timeout_ms": 3000, "priority": 1,
            "attempts": ATTEMPTS, "stretch": 4.0, "target_latency_ms": 3000}


KEPT = route("r-kept", "/tile410/")
GOES = route("r-goes", "/lohu930/")
# Its first run fails by its own fault after eight seconds; the next one works.
BODY = {"spec": json.dumps({"ms": [8000], "failed_runs": [1]}),
        "steps": [{"count": 1, "cpu": 3300, "mem_mb": 4700,
                   "estimate_ms": 8000}]}


def run(case):
    case.start(daemons=4, workers=6, routes=[KEPT, GOES])
    job = case.new_id()
    path = "/lohu930/" + job
    case.submit(case.daemons[0], path, BODY)
    case.wait(lambda: case.runs(job), 10, "the first run")
    time.sleep(1)
    if cases.TROUBLE:
        # A version that drops the route comes into force everywhere.
        case.write_config([KEPT])
        time.sleep(cases.BOUNDS["config_apply_ms"] / 1000 + 0.5)
        owner = case.owner()
        case.kill_daemon(owner)
        time.sleep(1)
        case.start_daemon(owner)
        case.wait(lambda: case.is_ready(owner), 10, "the daemon is back")
    case.wait(lambda: [e for e in case.runs(job, "end")
                       if e["how"] == "failed"], 25, "the end of a run")
    time.sleep(2)
    if cases.TROUBLE:
        # The operator takes the change back.
        case.write_config([KEPT, GOES])
        time.sleep(cases.BOUNDS["config_apply_ms"] / 1000 + 0.5)
    deadline = time.monotonic() + 30
    state = None
    while time.monotonic() < deadline:
        status, body = case.call(case.daemons[-1].front, "GET", path)
        state = body.get("state") if status == 200 else state
        if state in ("completed", "failed", "cancelled"):
            break
        time.sleep(0.5)
    failed = len([e for e in case.runs(job, "end") if e["how"] == "failed"])
    if state == "failed" and failed < ATTEMPTS:
        return ("LOST: a submission that nobody has cancelled is shown as "
                "failed after %d end(s) `failed`, with attempts = %d in every "
                "config that held its route" % (failed, ATTEMPTS))
    if state != "completed":
        return "LOST: the submission is shown as %s at the end" % state
    return None


if __name__ == "__main__":
    sys.exit(cases.main(HERE, run))
