#!/usr/bin/env python3
"""Runs trials with faults chosen by seed. Prints each seed that fails.

Replay one with: soak.py --build build --first SEED --seeds 1
"""

import argparse
import os
import random
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "support"))


def run_seed(seed):
    import faults
    import trial
    rng = random.Random(seed)
    chosen = [rng.choice(faults.ALL) for _ in range(rng.randint(1, 2))]
    if len(chosen) == 2 and rng.random() < 0.5:
        chosen = [faults.together(*chosen)]
    names = ", ".join(each.__name__ for each in chosen)
    subject = trial.Trial(seed)
    try:
        subject.run(*chosen)
    except BaseException as error:
        print("seed %d FAILED (%s): %s" % (seed, names, error), flush=True)
        return False
    print("seed %d ok (%s): %s" % (seed, names, subject.summary()), flush=True)
    return True


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="build")
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=20)
    parser.add_argument("--fault", help="run just this fault, once")
    options = parser.parse_args()
    os.environ["CUMINROAD_BUILD"] = os.path.abspath(options.build)
    if options.fault:
        import faults
        import trial
        subject = trial.Trial(options.first)
        subject.run(getattr(faults, options.fault))
        print(subject.summary())
        return
    seeds = range(options.first, options.first + options.seeds)
    failed = [seed for seed in seeds if not run_seed(seed)]
    print("%d of %d seeds failed: %s" % (len(failed), len(seeds), failed))
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
