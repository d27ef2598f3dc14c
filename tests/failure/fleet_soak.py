#!/usr/bin/env python3
"""Runs fleet trials with faults drawn from a seed: daemons with stand-ins for
the operator platform. Prints the result of each seed.

Replay one with: fleet_soak.py --build build --first SEED --seeds 1
"""

import functools
import os
import random
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "support"))

import fleet_faults
import fleet_trial
import soak_seeds


def describe_fault(fault):
    if isinstance(fault, functools.partial):
        return "%s %s" % (fault.func.__name__, fault.keywords)
    return fault.__name__


def describe(faults):
    return ", ".join(
        "%s at %.1f for %.1f" % (describe_fault(fault), start_s, duration_s)
        for start_s, fault, duration_s in faults)


def run_seed(seed, seconds, late_restarts=False, dropped_queues=False):
    rng = random.Random(seed)
    chosen = fleet_faults.draw_faults(rng, rng.randint(2, 6), seconds)
    daemons = rng.randint(1, 3)
    crash_share = rng.choice((0, 0.05))
    if rng.random() < 0.5:
        chosen.append((rng.uniform(0, seconds / 2),
                       fleet_faults.change_capacities, seconds / 2))
    chosen += fleet_faults.draw_write_faults(seed, seconds)
    chosen += fleet_faults.draw_silent_connections(seed, seconds)
    chosen += fleet_faults.draw_hopeless_jobs(seed, seconds)
    if late_restarts:
        chosen += [(rng.uniform(0, seconds / 2), fault, seconds / 2)
                   for fault in fleet_faults.LATE_RESTARTS]
    if dropped_queues:
        for start_s in (0.5, 3, 6):
            chosen += [(start_s, fleet_faults.drop_queue, 2.5),
                       (start_s + 1, fleet_faults.kill_daemon, 0.5)]
    fault_names = "crash share %s, %s" % (crash_share, describe(chosen))
    trial = fleet_trial.Trial(seed, daemons=daemons, crash_share=crash_share)
    return soak_seeds.run_trial(seed, fault_names,
                                lambda: trial.run(chosen, seconds),
                                trial.summary)


def add_options(parser):
    parser.add_argument("--seconds", type=float, default=10)
    parser.add_argument("--late-restarts", action="store_true",
                        help="also restart VMs with late orders under way")
    parser.add_argument("--dropped-queues", action="store_true",
                        help="also drop queues while daemons are killed")


if __name__ == "__main__":
    soak_seeds.main(
        __doc__, lambda seed, options: run_seed(seed, options.seconds,
                                                options.late_restarts,
                                                options.dropped_queues),
        add_options)
