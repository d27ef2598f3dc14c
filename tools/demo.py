#!/usr/bin/env python3
"""Shows the whole path at work: an operator, callers, two failure domains.

Starts a platform, backend servers and four daemons as separate processes on
loopback, uses the command line as an operator and a caller would, and ends
with the time line of events over all daemons. Exits with 0 only if everything
came out as it should.
"""

import argparse
import json
import os
import subprocess
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "tests",
                                "support"))
import cluster  # noqa: E402

FAILURES = []


class Shell:
    """Runs the command line against the cluster and prints what it does."""

    def __init__(self, build, test_cluster):
        self.binary = os.path.join(build, "programs", "cuminroad")
        servers = ["127.0.0.1:%d" % d.http_port
                   for d in test_cluster.daemons.values()]
        self.environment = dict(os.environ,
                                CUMINROAD_TOKEN=cluster.OPERATOR_TOKEN,
                                CUMINROAD_SERVER=",".join(servers))
        self.directory = test_cluster.directory

    def file(self, name, content):
        path = os.path.join(self.directory, name)
        with open(path, "w") as file:
            json.dump(content, file)
        return path

    def run(self, *words, expect=0, show=True):
        shown = [os.path.basename(w) if w.startswith(self.directory) else w
                 for w in words]
        print("$ cuminroad " + " ".join(shown))
        done = subprocess.run([self.binary, *words], env=self.environment,
                              capture_output=True, text=True, timeout=60)
        if show:
            print((done.stdout + done.stderr).rstrip())
        if done.returncode != expect:
            FAILURES.append("%s: exit code %d, expected %d" %
                            (" ".join(shown), done.returncode, expect))
        return done.stdout


def terms(**changes):
    out = dict(milli_cores=24000, memory_mb=48000, accelerators=0, requests=12,
               task_start_within_ms=10000, request_start_within_ms=1000)
    out.update(changes)
    return out


def wait_for_job(shell, name, job):
    for _ in range(200):
        done = subprocess.run([shell.binary, "job", "show", job],
                              env=shell.environment, capture_output=True,
                              text=True, timeout=60)
        if '"finished"' in done.stdout:
            print("%s: %s" % (name, done.stdout.strip()))
            if '"outcome":"done"' not in done.stdout:
                FAILURES.append(name + " did not end well")
            return
        time.sleep(0.1)
    FAILURES.append("%s did not finish: %s" % (name, done.stdout))


def wait_for_running(shell, name, job, tasks):
    for _ in range(100):
        done = subprocess.run([shell.binary, "job", "show", job],
                              env=shell.environment, capture_output=True,
                              text=True, timeout=60)
        if json.loads(done.stdout).get("running") == tasks:
            print("%s runs %d tasks" % (name, tasks))
            return
        time.sleep(0.1)
    FAILURES.append("%s does not run: %s" % (name, done.stdout))


def submit(shell, name, **spec):
    job = dict(dict(customer="refuge", milli_cores=1000, memory_mb=1000),
               **spec)
    out = shell.run("job", "submit", "--file", shell.file(name + ".json", job))
    return json.loads(out)["id"] if out.startswith("{") else ""


def play(shell):
    print("--- an operator writes contracts")
    shell.run("contract", "create", "refuge", "--file",
              shell.file("refuge.json", terms(never_repeat=["billing"])),
              "--operator", "ana")
    shell.run("contract", "create", "counter", "--file",
              shell.file("counter.json", terms(urgent=True)))
    shell.run("contract", "change", "counter", "--expect-version", "7",
              "--file", shell.file("late.json", terms()), expect=1)
    shell.run("contract", "status")
    print("--- callers send service requests")
    shell.run("request", "counter", "fitting", "--idempotent", "--body",
              '{"mark":"quick fit check","work_ms":20}')
    shell.run("request", "refuge", "fitting", "--body",
              '{"mark":"shaping plan","work_ms":20}')
    ticket = json.loads(shell.run("ticket"))["ticket"]
    for _ in range(2):
        shell.run("request", "refuge", "fitting", "--ticket", ticket, "--body",
                  '{"mark":"billed once"}')
    for _ in range(2):
        shell.run("request", "refuge", "fitting", "--key", "plan-17", "--body",
                  '{"mark":"planned once"}')
    shell.run("request", "stranger", "fitting", "--body", "{}", expect=1)
    print("--- callers submit jobs")
    service = submit(shell, "watch", kind="service", tasks=2)
    batch = submit(shell, "render", kind="batch", tasks=6, duration_ms=500)
    gang = submit(shell, "gang", kind="gang", tasks=3, duration_ms=500)
    shell.run("job", "submit", "--file",
              shell.file("huge.json", dict(customer="refuge", kind="batch",
                                           milli_cores=500000,
                                           memory_mb=1)), expect=1)
    wait_for_running(shell, "watch", service, 2)
    wait_for_job(shell, "render", batch)
    wait_for_job(shell, "gang", gang)
    shell.run("job", "cancel", service)
    print("--- an operator looks")
    shell.run("status")
    print("--- the time line over all daemons")
    shell.run("timeline")


def check_history(test_cluster):
    """What was to run once ran once, as the backend servers saw it."""
    marks = [line["mark"] for line in test_cluster.history()
             if line["ev"] == "request_start"]
    for mark in ("shaping plan", "billed once", "planned once"):
        if marks.count(mark) != 1:
            FAILURES.append("%s ran %d times" % (mark, marks.count(mark)))


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="build")
    build = os.path.abspath(parser.parse_args().build)
    with cluster.Cluster(build) as test_cluster:
        play(Shell(build, test_cluster))
        check_history(test_cluster)
    for failure in FAILURES:
        print("FAILED:", failure)
    print("make run:", "failed" if FAILURES else "all of it came out right")
    sys.exit(1 if FAILURES else 0)


if __name__ == "__main__":
    main()
