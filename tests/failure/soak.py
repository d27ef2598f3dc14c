#!/usr/bin/env python3
"""Runs trials with faults chosen by seed. Prints each seed that fails.

Replay one with: soak.py --build build --first SEED --seeds 1
"""

import os
import random
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "support"))

import faults
import soak_seeds
import trial


def run_seed(seed, _):
    rng = random.Random(seed)
    chosen = [rng.choice(faults.ALL) for _ in range(rng.randint(1, 2))]
    if len(chosen) == 2 and rng.random() < 0.5:
        chosen = [faults.together(*chosen)]
    names = ", ".join(each.__name__ for each in chosen)
    subject = trial.Trial(seed)
    return soak_seeds.play(seed, names, lambda: subject.run(*chosen),
                           subject.summary)


def run_fault(options):
    if not options.fault:
        return False
    subject = trial.Trial(options.first)
    subject.run(getattr(faults, options.fault))
    print(subject.summary())
    return True


if __name__ == "__main__":
    soak_seeds.main(
        __doc__, run_seed,
        lambda parser: parser.add_argument("--fault",
                                           help="run just this fault, once"),
        run_fault)
