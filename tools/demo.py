#!/usr/bin/env python3
"""Demonstrates the system with an operator, callers and two failure domains.

Starts a platform, backend servers and four daemons as separate processes on
loopback, runs the commands that an operator and a caller would use, and
prints the timeline of events of all daemons. Exits with 0 only if every step
had the expected result.
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


class CommandLine:
    """Runs cuminroad commands against the cluster and prints their output."""

    def __init__(self, build, test_cluster):
        self.binary = os.path.join(build, "programs", "cuminroad")
        servers = ["127.0.0.1:%d" % d.http_port
                   for d in test_cluster.daemons.values()]
        self.environment = dict(os.environ,
                                CUMINROAD_TOKEN=cluster.OPERATOR_TOKEN,
                                CUMINROAD_SERVER=",".join(servers))
        self.directory = test_cluster.directory

    def write_json(self, name, content):
        path = os.path.join(self.directory, name)
        with open(path, "w") as file:
            json.dump(content, file)
        return path

    def run(self, *arguments, expect=0, show=True):
        displayed = [os.path.basename(w) if w.startswith(self.directory) else w
                     for w in arguments]
        print("$ cuminroad " + " ".join(displayed))
        result = subprocess.run([self.binary, *arguments],
                                env=self.environment, capture_output=True,
                                text=True, timeout=60)
        if show:
            print((result.stdout + result.stderr).rstrip())
        if result.returncode != expect:
            FAILURES.append("%s: exit code %d, expected %d" %
                            (" ".join(displayed), result.returncode, expect))
        return result.stdout


def contract_terms(**overrides):
    contract = dict(milli_cores=24000, memory_mb=48000, accelerators=0,
                    requests=12, task_start_within_ms=10000,
                    request_start_within_ms=1000)
    contract.update(overrides)
    return contract


def wait_for_job(cli, name, job):
    for _ in range(200):
        result = subprocess.run([cli.binary, "job", "show", job],
                                env=cli.environment, capture_output=True,
                                text=True, timeout=60)
        if '"finished"' in result.stdout:
            print("%s: %s" % (name, result.stdout.strip()))
            if '"outcome":"done"' not in result.stdout:
                FAILURES.append(name + " did not end as done")
            return
        time.sleep(0.1)
    FAILURES.append("%s did not finish: %s" % (name, result.stdout))


def wait_for_running(cli, name, job, tasks):
    for _ in range(100):
        result = subprocess.run([cli.binary, "job", "show", job],
                                env=cli.environment, capture_output=True,
                                text=True, timeout=60)
        if json.loads(result.stdout).get("running") == tasks:
            print("%s runs %d tasks" % (name, tasks))
            return
        time.sleep(0.1)
    FAILURES.append("%s does not run all of its tasks: %s" %
                    (name, result.stdout))


def submit_job(cli, name, **spec):
    job = dict(dict(customer="refuge", milli_cores=1000, memory_mb=1000),
               **spec)
    output = cli.run("job", "submit", "--file",
                     cli.write_json(name + ".json", job))
    return json.loads(output)["id"] if output.startswith("{") else ""


def run_demo(cli):
    print("--- an operator creates contracts")
    cli.run("contract", "create", "refuge", "--file",
            cli.write_json("refuge.json",
                           contract_terms(never_repeat=["billing"])),
            "--operator", "ana")
    cli.run("contract", "create", "counter", "--file",
            cli.write_json("counter.json", contract_terms(urgent=True)))
    cli.run("contract", "change", "counter", "--expect-version", "7",
            "--file", cli.write_json("late.json", contract_terms()), expect=1)
    cli.run("contract", "status")
    print("--- callers send service requests")
    cli.run("request", "counter", "fitting", "--idempotent", "--body",
            '{"mark":"quick fit check","work_ms":20}')
    cli.run("request", "refuge", "fitting", "--body",
            '{"mark":"shaping plan","work_ms":20}')
    ticket = json.loads(cli.run("ticket"))["ticket"]
    for _ in range(2):
        cli.run("request", "refuge", "fitting", "--ticket", ticket, "--body",
                '{"mark":"billed once"}')
    for _ in range(2):
        cli.run("request", "refuge", "fitting", "--key", "plan-17", "--body",
                '{"mark":"planned once"}')
    cli.run("request", "stranger", "fitting", "--body", "{}", expect=1)
    print("--- callers submit jobs")
    service = submit_job(cli, "watch", kind="service", tasks=2)
    batch = submit_job(cli, "render", kind="batch", tasks=6, duration_ms=500)
    gang = submit_job(cli, "gang", kind="gang", tasks=3, duration_ms=500)
    cli.run("job", "submit", "--file",
            cli.write_json("huge.json", dict(customer="refuge", kind="batch",
                                             milli_cores=500000,
                                             memory_mb=1)), expect=1)
    wait_for_running(cli, "watch", service, 2)
    wait_for_job(cli, "render", batch)
    wait_for_job(cli, "gang", gang)
    cli.run("job", "cancel", service)
    print("--- an operator views the status")
    cli.run("status")
    print("--- the timeline of all daemons")
    cli.run("timeline")


def check_history(test_cluster):
    """Checks in the backend servers' history that each request that must not
    be repeated ran exactly once."""
    marks = [event["mark"] for event in test_cluster.history()
             if event["ev"] == "request_start"]
    for mark in ("shaping plan", "billed once", "planned once"):
        if marks.count(mark) != 1:
            FAILURES.append("%s ran %d times" % (mark, marks.count(mark)))


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="build")
    build = os.path.abspath(parser.parse_args().build)
    with cluster.Cluster(build) as test_cluster:
        run_demo(CommandLine(build, test_cluster))
        check_history(test_cluster)
    for failure in FAILURES:
        print("FAILED:", failure)
    print("make run:", "failed" if FAILURES else "all steps succeeded")
    sys.exit(1 if FAILURES else 0)


if __name__ == "__main__":
    main()
