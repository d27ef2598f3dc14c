#!/usr/bin/env python3
"""A stand-in for a worker (rpc mode), as PROTOCOL.md describes it. One process
is one life of a worker: a crash is a SIGKILL, a restart is a new process.

worker.py OPTIONS (JSON). What happens is appended to the file at "log", one
JSON object a line. A task's time comes from the spec, which is a JSON object:
"ms" has the duration of the tasks of each step, "lasts" the steps that last,
"fails" the runs (TASK#RUN) that end as failed.
"""

import json
import os
import sys
import threading
import time
import urllib.request

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import store

O = json.loads(sys.argv[1])
BORN = int(time.time() * 1000)
START = time.monotonic()
LOCK = threading.RLock()
CHANGED = threading.Condition(LOCK)
STOP_S = O["stop_ms"] / 1000 / 2
LOG = os.open(O["log"], os.O_WRONLY | os.O_APPEND | os.O_CREAT)


def clock():
    return int((time.monotonic() - START) * 1000)


def log(what, **fields):
    os.write(LOG, (json.dumps({"at": time.monotonic(), "what": what,
                               "worker": O["id"], "born": BORN, **fields}) +
                   "\n").encode())


class State:
    token = 0
    lease_end = 0
    running = {}
    highest = {}
    ends = []
    next_end = 1
    draining = False


def end(task, how):
    run = State.running.pop(task)
    State.highest[task] = max(State.highest.get(task, 0), run["run"])
    State.ends.append([State.next_end, task, run["run"], how, saved(run)])
    State.next_end += 1
    log("end", task=task, run=run["run"], how=how)
    CHANGED.notify_all()


def saved(run):
    return ""


def extend(body):
    until = min(body.get("deadline_ms", 0), clock() + O["max_hold_ms"])
    State.lease_end = max(State.lease_end, until)


def refuse(reason):
    return 409, {"clock_ms": clock(), "reason": reason}


def start(body):
    task, number = body["task"], body["run"]
    if body["deadline_ms"] <= clock():
        return refuse("late")
    extend(body)
    present = State.running.get(task)
    if present and present["run"] == number:
        return 200, {"clock_ms": clock()}
    if present or number <= State.highest.get(task, 0):
        return refuse("old")
    spec = json.loads(body["spec"])
    step = int(task.split(".")[2])
    State.running[task] = {
        "run": number, "began": time.monotonic(), "stops": None,
        "s": spec["ms"][step] / 1000 * O.get("slow", 1),
        "lasts": step in spec.get("lasts", []),
        "fails": "%s#%d" % (task, number) in spec.get("fails", [])}
    log("start", task=task, run=number, token=body.get("fencing_token", 0))
    return 200, {"clock_ms": clock()}


def stop(body):
    task, number = body["task"], body["run"]
    State.highest[task] = max(State.highest.get(task, 0), number)
    run = State.running.get(task)
    if run and run["run"] <= number and run["stops"] is None:
        run["stops"] = time.monotonic() + STOP_S
    return 200, {"clock_ms": clock()}


def hold(body):
    extend(body)
    for each in State.ends:
        if each[0] <= body["ack_cursor"]:
            log("noted", task=each[1], run=each[2], how=each[3])
    State.ends = [e for e in State.ends if e[0] > body["ack_cursor"]]
    first, deadline = State.next_end, time.monotonic() + min(
        body.get("wait_ms", 0), 2000) / 1000
    while State.next_end == first and time.monotonic() < deadline:
        CHANGED.wait(deadline - time.monotonic())
    now = time.monotonic()
    rows = []
    for task, run in State.running.items():
        done = 100 if run["lasts"] else min(
            99, int((now - run["began"]) / run["s"] * 100))
        rows.append([task, run["run"], saved(run), done, 0])
    return 200, {"clock_ms": clock(), "born": BORN, "running": rows,
                 "finished": State.ends[:500]}


def pace(_):
    return 200, {"clock_ms": clock()}


def handle(_, path, query, headers, body):
    del query
    if path == "/standin/drain":
        State.draining = True
        report()
        return 200, {}
    if headers.get("Expected-Instance") != O["id"]:
        return 421, {"clock_ms": clock()}
    call = {"/v1/run-start": start, "/v1/run-stop": stop, "/v1/hold": hold,
            "/v1/pace": pace}.get(path)
    if call is None:
        return 404, {}
    with LOCK:
        token = body.get("fencing_token", 0)
        if token < State.token:
            return refuse("fence")
        State.token = token
        return call(body)


def report():
    entry = {"service": O["service"], "address": "127.0.0.1:%d" % O["port"],
             "zone": O["zone"], "version": "1", "slots": 8,
             "state": "draining" if State.draining else "ready",
             "cold_remaining_ms": 0, "seq": clock(), "born": BORN,
             "capacity": O["capacity"], "labels": O["labels"]}
    request = urllib.request.Request(
        O["reports"] + O["id"], json.dumps(entry).encode(), method="POST")
    try:
        urllib.request.urlopen(request, timeout=1).read()
    except OSError:
        pass


def beat():
    while True:
        report()
        time.sleep(O["heartbeat_ms"] / 1000)


def main():
    server = store.serve(O["port"], handle)
    log("up")
    threading.Thread(target=beat, daemon=True).start()
    while server:
        now = time.monotonic()
        with LOCK:
            for task, run in list(State.running.items()):
                if clock() >= State.lease_end:
                    end(task, "lapsed")
                elif run["stops"] is not None and now >= run["stops"]:
                    end(task, "stopped")
                elif not run["lasts"] and now - run["began"] >= run["s"]:
                    end(task, "failed" if run["fails"] else "done")
        time.sleep(0.005)


main()
