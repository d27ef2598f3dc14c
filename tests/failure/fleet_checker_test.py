"""Each check of fleet_checker.py finds violations."""

import types
import unittest

import fleet_checker


def event(what, task="j.0.0.0", run=1, vm="v", size=(1000, 100)):
    return {"at": 0, "what": what, "task": task, "run": run, "vm": vm,
            "size": size}


def call(**fields):
    return {"job": "j", "state": None, "problems": [], "accepted": None,
            "refused": False, "cancelled": False, "attempts": 2, **fields}


JOBS = {"j": {"spec": '{"crashes": true}', "steps": [{"count": 2}, {"count": 1, "after": [0],
                                       "requires": "za"}]}}
VMS = [types.SimpleNamespace(
    name="v", label="zb",
    capacity_limit=lambda field, at: {"cpu": 1500, "mem_mb": 1000}[field])]


class CheckerTest(unittest.TestCase):
    def test_concurrent_runs(self):
        self.assertEqual([], fleet_checker.check_exclusive_runs(
            [event("start"), event("lapsed"), event("start", run=2)]))
        self.assertTrue(fleet_checker.check_exclusive_runs(
            [event("start"), event("start", run=2, vm="w")]))

    def test_start_after_acknowledged_end(self):
        self.assertTrue(fleet_checker.check_exclusive_runs(
            [event("start"), event("done"), event("acknowledged"),
             event("start", run=2)]))

    def test_vm_capacity(self):
        two = [event("start"), event("start", task="j.0.0.1")]
        self.assertTrue(fleet_checker.check_vm_capacity(two, VMS))
        self.assertEqual([], fleet_checker.check_vm_capacity(
            [two[0], event("done"), two[1]], VMS))

    def test_crashing_tasks(self):
        runs = [event(what, run=run) for run in range(1, 7)
                for what in ("start", "crashed")]
        self.assertTrue(fleet_checker.check_crashing_tasks(runs, JOBS))
        self.assertEqual([], fleet_checker.check_crashing_tasks(
            runs[:10], JOBS))

    def test_given_up_after_crashes(self):
        given_up = [call(accepted=1.0, state="failed")]
        crashes = [event("start"), event("crashed"), event("start", run=2),
                   event("crashed", run=2)]
        self.assertEqual([], fleet_checker.check_reported_outcomes(
            crashes, given_up, JOBS))
        self.assertTrue(fleet_checker.check_reported_outcomes(
            crashes[:2], given_up, JOBS))

    def test_step_order(self):
        history = [event("done"), event("start", task="j.0.1.0")]
        self.assertTrue(fleet_checker.check_step_order(history, JOBS))
        history.insert(0, event("done", task="j.0.0.1"))
        self.assertEqual([], fleet_checker.check_step_order(history, JOBS))

    def test_vm_labels(self):
        self.assertTrue(fleet_checker.check_vm_labels(
            [event("start", task="j.0.1.0")], JOBS, VMS))

    def test_tasks_per_vm(self):
        jobs = {"j": {"steps": [{"count": 3, "anti_affinity": 2},
                                {"count": 3}]}}
        check = lambda history: fleet_checker.check_tasks_per_vm(history, jobs)
        two = [event("start"), event("start", task="j.0.0.1")]
        third = event("start", task="j.0.0.2")
        found = check(two + [third])
        self.assertEqual(1, len(found))
        self.assertIn("j.0.0.2 #1 starts on v beside", found[0])
        # A run that is being stopped counts until its end.
        stopped = event("stopped", task="j.0.0.1")
        self.assertTrue(check(two + [third, stopped]))
        self.assertEqual([], check(two + [stopped, third]))
        self.assertEqual([], check(two + [event("crashed"), third]))
        # The acknowledgement of an end names no VM.
        acknowledged = {"at": 0, "what": "acknowledged", "task": "j.0.0.0",
                        "run": 1}
        self.assertTrue(check(two + [acknowledged, third]))
        # Other VMs, steps and occurrences have limits of their own.
        for elsewhere in (event("start", task="j.0.0.2", vm="w"),
                          event("start", task="j.0.1.2"),
                          event("start", task="j.1.0.2")):
            self.assertEqual([], check(two + [elsewhere]))
        self.assertEqual([], check([
            event("start", task="j.0.1.%d" % index) for index in range(3)]))

    def test_reported_outcomes(self):
        for wrong in (call(refused=True), call(accepted=1.0),
                      call(accepted=1.0, state="completed"),
                      call(accepted=1.0, state="failed"),
                      call(accepted=1.0, state="cancelled"),
                      call(problems=["410"])):
            self.assertTrue(fleet_checker.check_reported_outcomes(
                [event("start"), event("failed")], [wrong], JOBS), wrong)
        self.assertEqual([], fleet_checker.check_reported_outcomes(
            [event("start"), event("failed"), event("start", run=2),
             event("failed", run=2)],
            [call(accepted=1.0, state="failed")], JOBS))


if __name__ == "__main__":
    unittest.main()
