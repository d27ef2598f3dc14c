#!/usr/bin/env python3
"""Measures the latency that a daemon adds to calls of a backend server.

Runs three daemons of one failure domain and backend servers that respond at
once. Each round measures direct calls and then calls through the daemons. The
ratios matter more than the times.
"""

import argparse
import json
import os
import statistics
import subprocess
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "tests", "support"))
import cluster  # noqa: E402


def measure(build, rate, seconds, urls):
    result = subprocess.run(
        [os.path.join(build, "benchmark", "load_generator"), str(rate),
         str(seconds), "{}", *urls], capture_output=True, text=True,
        timeout=120)
    return json.loads(result.stdout)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="build")
    parser.add_argument("--rates", default="500,2000,4000")
    parser.add_argument("--seconds", type=int, default=4)
    parser.add_argument("--rounds", type=int, default=3)
    options = parser.parse_args()
    build = os.path.abspath(options.build)
    with cluster.Cluster(build, domains=1, daemons=3, vms=12) as test_cluster:
        test_cluster.create_contract("load", requests=96)
        through = ["http://127.0.0.1:%d/v1/customers/load/services/fitting/"
                   "requests" % d.http_port
                   for d in test_cluster.daemons.values()]
        direct = [vm["url"] + "/requests" for vm in test_cluster.vms.values()]
        for rate in map(int, options.rates.split(",")):
            pairs = [(measure(build, rate, options.seconds, direct),
                      measure(build, rate, options.seconds, through))
                     for _ in range(options.rounds)]
            report(rate, pairs)


def report(rate, pairs):
    for name, index in (("direct", 0), ("through", 1)):
        runs = [pair[index] for pair in pairs]
        print("%5d/s %-8s p50 %6.0f us, p99 %6.0f us, failed %d of %d "
              "(medians of %d runs)" %
              (rate, name, statistics.median(r["p50_us"] for r in runs),
               statistics.median(r["p99_us"] for r in runs),
               sum(r["failed"] for r in runs), sum(r["sent"] for r in runs),
               len(runs)))
    added_us = [daemon_run["p99_us"] - direct_run["p99_us"]
                for direct_run, daemon_run in pairs]
    p50_ratios = [daemon_run["p50_us"] / direct_run["p50_us"]
                  for direct_run, daemon_run in pairs]
    print("        added at p99 %.0f us (from %.0f to %.0f), ratio of p50 "
          "%.2f" % (statistics.median(added_us), min(added_us), max(added_us),
                    statistics.median(p50_ratios)))


if __name__ == "__main__":
    main()
