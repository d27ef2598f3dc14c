"""The stand-in VMs follow the protocol's rules on fencing tokens and on late
commands."""

import json
import time
import unittest

import operator_vms

TASK = "0000000000000001.0.0.0"


class OperatorVmsTest(unittest.TestCase):
    def setUp(self):
        self.simulation = operator_vms.VmSimulation("svc", 1)
        self.simulation.jobs[TASK.split(".")[0]] = {"steps": [
            {"count": 1, "cpu": 1, "mem_mb": 1, "estimate_ms": 1000}]}
        self.vm = operator_vms.Vm(self.simulation, "v", "za",
                                  {"cpu": 1, "mem_mb": 1, "gpu": 0}, "za")

    def start_body(self, token, run=1):
        return {"task": TASK, "run": run, "spec": json.dumps({"fails": 0}),
                "deadline_ms": 5000, "fencing_token": token}

    def start(self, token, run=1):
        """Returns the status and the reason, if there is one."""
        status, body = self.vm.handle(operator_vms.START_PATH,
                                      self.start_body(token, run))
        return status, body.get("reason")

    def hold(self, token):
        return self.vm.handle("/v1/hold", {
            "fencing_token": token, "ack_cursor": 0, "deadline_ms": 9000})

    def test_lower_tokens_are_fenced(self):
        self.hold(7)
        lease_end_ms = self.vm.lease_end_ms
        self.assertEqual((409, "fence"), self.start(6))
        status, body = self.hold(6)
        self.assertEqual((409, "fence"), (status, body["reason"]))
        status, body = self.vm.handle(operator_vms.STOP_PATH,
                                      {"task": TASK, "run": 1})
        self.assertEqual((409, "fence"), (status, body["reason"]))
        # Nothing was done for them, and the highest token is kept.
        self.assertEqual(({}, {}, lease_end_ms, 7), (
            self.vm.running, self.vm.highest_ended_run, self.vm.lease_end_ms,
            self.vm.highest_token))
        self.assertEqual((200, None), self.start(7))

    def test_restart_forgets_the_token(self):
        self.hold(7)
        self.vm.restart()
        self.assertEqual((200, None), self.start(6))
        self.assertEqual((409, "fence"), self.start(5))

    def test_withheld_start_outlives_a_restart(self):
        self.vm.withheld_paths = (operator_vms.START_PATH,)
        self.assertFalse(self.vm.withhold("/v1/hold", {}))
        self.assertTrue(self.vm.withhold(operator_vms.START_PATH,
                                         self.start_body(7)))
        self.vm.restart()
        self.vm.execute_withheld()
        self.assertEqual([200], [
            status for status, _ in self.vm.withheld_responses])
        self.assertEqual([TASK], list(self.vm.running))

    def test_late_start_is_lost_while_the_vm_is_down(self):
        self.vm.down_until = time.monotonic() + 60
        self.vm.execute_late(operator_vms.START_PATH, self.start_body(7))
        self.assertEqual({}, self.vm.running)


if __name__ == "__main__":
    unittest.main()
