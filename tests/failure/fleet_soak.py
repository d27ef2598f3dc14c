#!/usr/bin/env python3
"""Runs the daemons on stand-ins for the operator platform, with faults chosen
by seed, and checks the promises to callers. Prints each seed that fails.

Replay one with: fleet_soak.py --build build --first SEED --seeds 1
"""

import argparse
import os
import random
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "support"))


def run_seed(seed, seconds):
    import fleet_faults
    import fleet_trial
    rng = random.Random(seed)
    random.seed(seed)
    chosen = fleet_faults.draw(rng, rng.randint(2, 6), seconds)
    names = ", ".join("%s at %.1f for %.1f" % (fault.__name__, at, length)
                      for at, fault, length in chosen)
    trial = fleet_trial.Trial(seed, daemons=rng.randint(1, 3))
    try:
        trial.run(chosen, seconds)
    except BaseException as error:
        print("seed %d FAILED (%s): %s" % (seed, names, error), flush=True)
        return False
    print("seed %d ok (%s): %s" % (seed, names, trial.summary()), flush=True)
    return True


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="build")
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=20)
    parser.add_argument("--seconds", type=float, default=10)
    options = parser.parse_args()
    os.environ["CUMINROAD_BUILD"] = os.path.abspath(options.build)
    seeds = range(options.first, options.first + options.seeds)
    failed = [seed for seed in seeds if not run_seed(seed, options.seconds)]
    print("%d of %d seeds failed: %s" % (len(failed), len(seeds), failed))
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
