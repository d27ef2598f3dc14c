#!/usr/bin/env python3
"""Runs trials with faults drawn from a seed. Prints the result of each seed.

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
        chosen = [faults.combine(*chosen)]
    fault_names = ", ".join(each.__name__ for each in chosen)
    fault_trial = trial.Trial(seed)
    return soak_seeds.run_trial(seed, fault_names,
                                lambda: fault_trial.run(*chosen),
                                fault_trial.summary)


def run_fault(options):
    if not options.fault:
        return False
    fault_trial = trial.Trial(options.first)
    fault_trial.run(getattr(faults, options.fault))
    print(fault_trial.summary())
    return True


if __name__ == "__main__":
    soak_seeds.main(
        __doc__, run_seed,
        lambda parser: parser.add_argument("--fault",
                                           help="run just this fault, once"),
        run_fault)
