"""Submissions whose write the store performs without a response, while it
refuses all calls from then on."""

import functools
import os
import sys
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))

import fleet_faults
import fleet_soak
import fleet_trial

SECONDS = 8
JOBS_PER_S = 25


class LostWriteTest(unittest.TestCase):
    def run_fault(self, fault):
        trial = fleet_trial.Trial(1)
        trial.run([(0.5, fault, SECONDS - 1)], SECONDS, JOBS_PER_S)
        print(trial.summary(), flush=True)
        # Less would leave the checks without evidence.
        self.assertGreater(trial.lost_writes, 3)
        self.assertGreater(sum(call["refused"] for call in trial.load.calls),
                           10)

    # Guards against a job that is refused and runs: the refusal was the answer
    # to a second copy of the write, and the first one had been performed.
    def test_refused_jobs_do_not_run(self):
        self.run_fault(fleet_faults.store_fails_at_writes)

    def test_jobs_refused_for_load_do_not_run(self):
        self.run_fault(functools.partial(fleet_faults.store_fails_at_writes,
                                         status=429))

    def test_refused_jobs_do_not_run_later(self):
        self.run_fault(functools.partial(fleet_faults.store_fails_at_writes,
                                         late_s=2))

    def test_jobs_refused_through_a_peer_do_not_run(self):
        self.run_fault(fleet_faults.peers_fail_at_writes)

    # Guards against the same beside restarts, cuts and other faults of the
    # store.
    def test_refused_jobs_do_not_run_beside_other_faults(self):
        self.assertTrue(fleet_soak.run_seed(1, SECONDS))


if __name__ == "__main__":
    unittest.main()
