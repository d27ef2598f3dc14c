"""`cuminroad explain` over the logs of several daemons."""

import json
import os
import subprocess
import tempfile
import unittest

BUILD = os.environ["CUMINROAD_BUILD"]
JOB = "00000000000000aa"


def line(stamp, process, name, subject, detail):
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

    def test_story_over_processes_in_causal_order(self):
        owner = "\n".join([
            "garbage {not json}",
            "  12.5 owner " + line(102, "owner", "run_started",
                                   JOB + ".0.0.0#1", "vm-1"),
            line(103, "owner", "vm_unreachable", "vm-1", "timeout"),
            line(103, "owner", "vm_unreachable", "vm-2", "timeout"),
            line(107, "owner", "run_lost", JOB + ".0.0.0#1",
                 "vm-1 lease_lapsed"),
            line(500, "owner", "ownership_lost", "pool", "epoch 1"),
        ])
        front = line(101, "front", "job_accepted", JOB, "q 1x100m/1MB/0g")
        done = self.explain(JOB, owner, front, output="json")
        self.assertEqual(done.returncode, 0, done.stderr)
        names = [(each["process"], each["name"], each["subject"])
                 for each in json.loads(done.stdout)]
        self.assertEqual(names, [
            ("front", "job_accepted", JOB),
            ("owner", "run_started", JOB + ".0.0.0#1"),
            ("owner", "vm_unreachable", "vm-1"),
            ("owner", "run_lost", JOB + ".0.0.0#1")])

    def test_unknown_job(self):
        done = self.explain("ff", line(1, "a", "job_accepted", JOB, "q"))
        self.assertEqual(done.returncode, 1)
        self.assertIn("no line about ff", done.stderr)

    def test_missing_file(self):
        done = subprocess.run(
            [f"{BUILD}/programs/cuminroad", "explain", JOB, "/nowhere"],
            capture_output=True, text=True, check=False)
        self.assertEqual(done.returncode, 2)


if __name__ == "__main__":
    unittest.main()
