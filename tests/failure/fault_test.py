"""The whole system under each fault on its own, and under some at once.

The faults are in tests/support/faults.py, the checks in checker.py. Longer
and random trials: make soak SEEDS=n.
"""

import os
import unittest

import faults
import trial

# The group of this run; the groups run side by side.
GROUP = os.environ.get("CUMINROAD_FAULTS", "")


class FaultTest(unittest.TestCase):
    """Each test is one trial under load."""


def add_test(name, *fault_functions):
    def test(self):
        fault_trial = trial.Trial(seed=7)
        fault_trial.run(*fault_functions)
        print(name + ":", fault_trial.summary(), flush=True)
        # A trial in which little was done would prove little.
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
