#!/usr/bin/env python3
"""Measures how long a domain starts no tasks after its owner was killed.

Kills the owner while a standby receives jobs and requests, and reads the start
of the next task from the history of the backend servers.
"""

import argparse
import os
import statistics
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "tests", "support"))
import cluster  # noqa: E402


def submit_until(daemon, stop_event):
    while not stop_event.is_set():
        try:
            daemon.call("POST", "/v1/jobs", dict(
                customer="load", kind="batch", milli_cores=100, memory_mb=100,
                duration_ms=10), timeout=5)
        except OSError:
            pass
        time.sleep(0.02)


def measure(build):
    """Returns the seconds from the kill to the next task and to the next
    successful request."""
    with cluster.Cluster(build, domains=1, daemons=3, vms=10) as test_cluster:
        test_cluster.create_contract("load", requests=96)
        owner = test_cluster.owner("d1")
        standby = [d for d in test_cluster.daemons_in_domain("d1")
                   if d is not owner][0]
        stop_event = threading.Event()
        thread = threading.Thread(target=submit_until,
                                  args=(standby, stop_event))
        thread.start()
        time.sleep(2)
        owner.kill()
        killed_at = time.monotonic_ns()
        answered_at = None
        while answered_at is None and time.monotonic_ns() - killed_at < 20e9:
            outcome, _, _ = cluster.request(standby, "load", body="{}",
                                            idempotent=True)
            if outcome == "done":
                answered_at = time.monotonic_ns()
        time.sleep(6)
        stop_event.set()
        thread.join()
        starts = [event["t"] for event in test_cluster.history()
                  if event["ev"] == "task_start" and event["t"] > killed_at]
        return (min(starts) - killed_at) / 1e9, (answered_at - killed_at) / 1e9


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="build")
    parser.add_argument("--rounds", type=int, default=5)
    options = parser.parse_args()
    runs = [measure(options.build) for _ in range(options.rounds)]
    for name, index in (("next task", 0), ("next response", 1)):
        values = [run[index] for run in runs]
        print("%s after the owner was killed: median %.2f s, %.2f to %.2f s "
              "(%d runs)" % (name, statistics.median(values), min(values),
                             max(values), len(values)))


if __name__ == "__main__":
    main()
