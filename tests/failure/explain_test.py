"""`cuminroad explain` over the logs of several daemons."""

import json
import os
import subprocess
import tempfile
import unittest

BUILD = os.environ["CUMINROAD_BUILD"]
JOB = "00000000000000aa"


def log_line(stamp, process, name, subject, detail):
    return json.dumps({"stamp": stamp * 1_000_000, "process": process,
                       "level": "info", "event": 1, "name": name,
                       "subject": subject, "detail": detail})


class ExplainTest(unittest.TestCase):
    def explain(self, job, *logs, output="text"):
        with tempfile.TemporaryDirectory() as folder:
            paths = []
            for number, text in enumerate(logs):
                paths.append(os.path.join(folder, f"{number}.log"))
                with open(paths[-1], "w", encoding="utf-8") as file:
                    file.write(text)
            return subprocess.run(
                [f"{BUILD}/programs/cuminroad", "explain", "--output", output,
                 job, *paths],
                capture_output=True, text=True, check=False)

    def test_events_of_processes_in_causal_order(self):
        owner = "\n".join([
            "garbage {not json}",
            "  12.5 owner " + log_line(102, "owner", "run_started",
                                       JOB + ".0.0.0#1", "vm-1"),
            log_line(103, "owner", "vm_unreachable", "vm-1", "timeout"),
            log_line(103, "owner", "vm_unreachable", "vm-2", "timeout"),
            log_line(107, "owner", "run_lost", JOB + ".0.0.0#1",
                     "vm-1 lease_lapsed"),
            log_line(500, "owner", "ownership_lost", "pool", "epoch 1"),
        ])
        frontend = log_line(101, "front", "job_accepted", JOB,
                            "q 1x100m/1MB/0g")
        result = self.explain(JOB, owner, frontend, output="json")
        self.assertEqual(result.returncode, 0, result.stderr)
        names = [(each["process"], each["name"], each["subject"])
                 for each in json.loads(result.stdout)]
        self.assertEqual(names, [
            ("front", "job_accepted", JOB),
            ("owner", "run_started", JOB + ".0.0.0#1"),
            ("owner", "vm_unreachable", "vm-1"),
            ("owner", "run_lost", JOB + ".0.0.0#1")])

    def test_crashes_of_a_job_that_was_given_up(self):
        owner = "\n".join(
            log_line(101 + 2 * number, "owner", name, subject, detail)
            for number, (name, subject, detail) in enumerate([
                ("run_started", JOB + ".0.0.0#1", "vm-1"),
                ("vm_crashed", "vm-1", "pool lost_runs 9 suspects 1 one_job"),
                ("run_suspected", JOB + ".0.0.0#1", "vm-1"),
                ("vm_crashed", "vm-2", "pool lost_runs 1 suspects 1 one_job"),
                ("job_given_up", JOB, "0.0.0 crashed_vms 2"),
                ("job_stage", JOB, "failed crashed_vms")]))
        result = self.explain(JOB, owner, output="json")
        self.assertEqual(result.returncode, 0, result.stderr)
        self.assertEqual(
            [each["name"] for each in json.loads(result.stdout)],
            ["run_started", "vm_crashed", "run_suspected", "job_given_up",
             "job_stage"])

    def test_tasks_of_a_limited_step_on_a_vm(self):
        """Guards against a history without the orders that a VM's restart
        voids, or without what the owner believed to be on the VM."""
        before = "\n".join([
            log_line(101, "owner", "run_ordered", JOB + ".0.0.0#1",
                     "vm-1 step_on_vm 0 of 1 incarnation 7 report_age_ms 90 "
                     "decided_ms 3 token 11"),
            log_line(102, "owner", "vm_token_raised", "vm-1",
                     "pool vm_restarted incarnation 8 token 12"),
            log_line(102, "owner", "vm_token_raised", "vm-2",
                     "pool lease_expired incarnation 8 token 13"),
            log_line(103, "owner", "vm_order_voided", "vm-1",
                     "vm-1 hold token 11 raised 12"),
            log_line(104, "owner", "vm_order_voided", JOB + ".0.0.0#1",
                     "vm-1 start token 11 raised 12"),
            log_line(104, "owner", "vm_order_voided", "00000000000000bb.0.0.0#1",
                     "vm-1 start token 11 raised 12"),
        ])
        after = "\n".join([
            log_line(105, "next", "run_unknown", JOB + ".0.0.1#1",
                     "vm-1 incarnation 8 stopped"),
            log_line(106, "next", "run_ordered", JOB + ".0.0.0#2",
                     "vm-1 step_on_vm 1 of 2 unknown 1#1 incarnation 8 "
                     "report_age_ms 40 decided_ms 5 token 12"),
        ])
        result = self.explain(JOB, after, before, output="json")
        self.assertEqual(result.returncode, 0, result.stderr)
        self.assertEqual(
            [(each["name"], each["subject"])
             for each in json.loads(result.stdout)],
            [("run_ordered", JOB + ".0.0.0#1"),
             ("vm_token_raised", "vm-1"),
             ("vm_order_voided", "vm-1"),
             ("vm_order_voided", JOB + ".0.0.0#1"),
             ("run_unknown", JOB + ".0.0.1#1"),
             ("run_ordered", JOB + ".0.0.0#2")])

    def test_unknown_job(self):
        result = self.explain("ff", log_line(1, "a", "job_accepted", JOB, "q"))
        self.assertEqual(result.returncode, 1)
        self.assertIn("no line about ff", result.stderr)

    def test_missing_file(self):
        result = subprocess.run(
            [f"{BUILD}/programs/cuminroad", "explain", JOB, "/nowhere"],
            capture_output=True, text=True, check=False)
        self.assertEqual(result.returncode, 2)


if __name__ == "__main__":
    unittest.main()
