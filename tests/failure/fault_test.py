"""Runs the system under each fault alone and under two pairs of faults.

The faults are in tests/support/faults.py, the checks in checker.py. For
random faults and more trials: make soak SEEDS=n.
"""

import os
import unittest

import faults
import trial

# The faults of this run, separated by commas; all if empty. CTest runs each
# fault as a test of its own.
GROUP = os.environ.get("CUMINROAD_FAULTS", "")


class FaultTest(unittest.TestCase):
    """Each test is one trial under load. add_test() adds the tests."""


def add_test(name, *fault_functions):
    def test(self):
        fault_trial = trial.Trial(seed=7)
        fault_trial.run(*fault_functions)
        print(name + ":", fault_trial.summary(), flush=True)
        # Too little load would leave the checks without evidence.
        done = sum(call["outcome"] == "done"
                   for call in fault_trial.load.calls)
        self.assertGreater(done, 50)
        self.assertGreater(len(fault_trial.load.jobs), 5)
    setattr(FaultTest, "test_" + name, test)


for each in faults.ALL:
    if not GROUP or each.__name__ in GROUP.split(","):
        add_test(each.__name__, each)
for first, second in [(faults.kill_owner, faults.platform_loses_replies),
                      (faults.freeze_owner, faults.vm_unreachable)]:
    pair = first.__name__ + "_and_" + second.__name__
    if not GROUP or pair in GROUP.split(","):
        add_test(pair, faults.combine(first, second))

if __name__ == "__main__":
    unittest.main()
