"""Runs the daemons with stand-ins for the operator platform, under faults.

For random faults and more trials: make soak SEEDS=n.
"""

import os
import sys
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))

import fleet_faults
import fleet_soak
import fleet_trial

SECONDS = 8


class FleetTrials(unittest.TestCase):
    def run_faults(self, seed, *faults, crash_share=0):
        trial = fleet_trial.Trial(seed, crash_share=crash_share)
        trial.run(faults, SECONDS)
        print(trial.summary(), flush=True)
        # Too little load would leave the checks without evidence.
        completed = sum(call["state"] == "completed"
                        for call in trial.load.calls)
        self.assertGreater(completed, 10)
        return trial


class FleetTest(FleetTrials):
    def test_without_faults(self):
        self.run_faults(1)

    def test_owners_and_store(self):
        self.run_faults(2, (1, fleet_faults.roll_daemons, 3),
                        (3, fleet_faults.store_loses_answers, 3),
                        (5, fleet_faults.power_off_all, 2))

    def test_gangs_that_fail(self):
        # Guards against counting each member's end as a failure of the gang.
        self.assertTrue(fleet_soak.run_seed(8, SECONDS))


    def test_queues_are_dropped_while_daemons_are_killed(self):
        # Guards against jobs that fail before all of their attempts since
        # their owner's contracts lack their queue.
        self.assertTrue(fleet_soak.run_seed(4, SECONDS, dropped_queues=True))


class CrashTest(FleetTrials):
    def test_tasks_that_crash_vms(self):
        # Guards against tasks that crash VM after VM without end, over
        # takeovers.
        trial = self.run_faults(4, (3, fleet_faults.kill_daemon, 1),
                                (5, fleet_faults.roll_daemons, 3),
                                crash_share=0.08)
        given_up = [call for call in trial.load.calls
                    if call["reason"] == "crashed_vms"]
        self.assertGreater(len(given_up), 0)

    def test_capacities_change(self):
        # Guards against starts by a capacity that has shrunk.
        self.run_faults(5, (1, fleet_faults.change_capacities, 7),
                        (3, fleet_faults.store_slow, 3),
                        (5, fleet_faults.kill_daemon, 1))

    def test_capacities_shrink_while_the_store_is_away(self):
        # Guards against starts by a capacity from before an outage.
        trial = fleet_trial.Trial(6)
        trial.run([(3, fleet_faults.shrink_without_store, 6)], SECONDS,
                  jobs_per_s=25)
        print(trial.summary(), flush=True)


class RestartTest(FleetTrials):
    def test_vm_restarts_under_its_id(self):
        # Guards against a start command that was sent before the owner knew
        # of the restart and ran in the VM's new incarnation, while the owner
        # placed the task once more.
        self.run_faults(12, *((start_s, fleet_faults.crash_vm, 0.1)
                              for start_s in (1, 2, 3, 4, 5, 6, 7)))

    def test_late_start_is_fenced_after_a_restart(self):
        # Guards against a start that a VM's new incarnation executes after the
        # owner has held it, and may have placed other tasks there.
        trial = self.run_faults(
            13, *((start_s, fleet_faults.start_outlives_restart, 2)
                  for start_s in (1, 2, 3, 4, 5, 6)))
        responses = [(status, body.get("reason")) for vm in trial.vms
                     for status, body in vm.withheld_responses]
        self.assertGreater(len(responses), 2)
        self.assertEqual([(409, "fence")] * len(responses), responses)


if __name__ == "__main__":
    unittest.main()
