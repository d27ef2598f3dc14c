"""The command line of the soak tests, which run one trial for each seed."""

import argparse
import os
import random
import sys


def run_trial(seed, fault_names, run, summary):
    """Runs one trial and prints its result; returns whether it passed."""
    try:
        run()
    except BaseException as error:
        print("seed %d FAILED (%s): %s" % (seed, fault_names, error),
              flush=True)
        return False
    print("seed %d ok (%s): %s" % (seed, fault_names, summary()), flush=True)
    return True


def main(description, run_seed, add_options=None, run_before=None):
    """Runs the seeds that the command line gives, and exits with 1 on failure.

    run_seed(seed, options) returns whether the seed passed.
    run_before(options) returns true if it did all that was asked; then no
    seeds are run.
    """
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument("--build", default="build")
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=20)
    if add_options:
        add_options(parser)
    options = parser.parse_args()
    os.environ["CUMINROAD_BUILD"] = os.path.abspath(options.build)
    if run_before and run_before(options):
        return
    seeds = range(options.first, options.first + options.seeds)
    failed = []
    for seed in seeds:
        random.seed(seed)
        if not run_seed(seed, options):
            failed.append(seed)
    print("%d of %d seeds failed: %s" % (len(failed), len(seeds), failed))
    sys.exit(1 if failed else 0)
