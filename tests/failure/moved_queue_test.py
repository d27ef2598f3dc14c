"""Queues whose jobs are in the pool of another service than the present one."""

import functools
import json
import shutil
import time
import unittest

import cluster
import fleet_trial

QUEUE = "urgent"
JOBS = 6
# A change of the contracts is in force everywhere after this long.
CONFIG_APPLY_S = 2
# A count may be this old.
MAX_COUNT_AGE_S = 2
# No VM has the label, so that the jobs wait.
WAITING_JOB = {"spec": json.dumps({"fails": 0}),
               "steps": [{"count": 1, "cpu": 500, "mem_mb": 200,
                          "estimate_ms": 100, "requires": "none"}]}


def with_trial(test):
    """Runs the test with daemons; their logs are kept if it fails."""
    @functools.wraps(test)
    def run(self):
        self.trial = fleet_trial.Trial(1, vms=1)
        self.trial.services.append("other")
        try:
            self.trial.start_all()
            test(self)
        finally:
            self.trial.close()
        shutil.rmtree(self.trial.directory)
    return run


class MovedQueueTest(unittest.TestCase):
    def call(self, daemon, method, job="", body=None):
        path = self.trial.queues[QUEUE]["path_prefix"] + job
        status, _, text = cluster.call(
            daemon.frontend_port, method, path, body,
            {"Host": "h", "Deadline-Ms": "3000",
             "Content-Type": "application/json"}, timeout=4)
        return status, json.loads(text) if text else {}

    def submit_jobs(self):
        for number in range(JOBS):
            daemon = self.trial.daemons[number % len(self.trial.daemons)]
            job = "%016x" % (number + 1)
            self.trial.simulation.jobs[job] = WAITING_JOB
            cluster.wait_until(
                lambda: self.call(daemon, "POST", job, WAITING_JOB)[0] == 200,
                10, "a job is accepted")
        self.wait_for_counts()

    def wait_for_counts(self):
        for daemon in self.trial.daemons:
            cluster.wait_until(
                lambda: self.call(daemon, "GET") == (200, {"pending": JOBS}),
                15, "%s counts all jobs" % daemon.name)

    def move_queue(self, service):
        self.trial.queues[QUEUE]["service"] = service
        self.trial.write_config()

    def check_counts(self, seconds):
        """Asks all daemons for a while. A count may be unknown, not wrong."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            for daemon in self.trial.daemons:
                status, body = self.call(daemon, "GET")
                self.assertIn(status, (200, 503))
                if status == 200:
                    self.assertEqual(body, {"pending": JOBS}, daemon.name)
            time.sleep(0.1)

    @with_trial
    def test_count_includes_jobs_in_the_former_service(self):
        # Guards against a count of 0 while jobs wait in the former pool.
        self.submit_jobs()
        self.move_queue("other")
        self.check_counts(CONFIG_APPLY_S + MAX_COUNT_AGE_S)
        self.wait_for_counts()

    @with_trial
    def test_count_after_daemons_that_saw_the_move_have_ended(self):
        # Guards against daemons that never knew the former service, and
        # against a change of the former pool's owner.
        self.submit_jobs()
        self.move_queue("other")
        time.sleep(CONFIG_APPLY_S)
        for daemon in self.trial.daemons:
            self.trial.terminate(daemon)
            self.trial.start(daemon)
            cluster.wait_until(self.trial.daemons_ready, 20,
                               "%s is ready" % daemon.name)
            self.check_counts(1)
        self.wait_for_counts()

    @with_trial
    def test_jobs_of_a_dropped_service_run_after_all_daemons_restart(self):
        # Guards against a pool without an owner, once no daemon is left that
        # has read its service in the contracts.
        self.submit_jobs()
        self.trial.services.remove("svc")
        for queue in self.trial.queues.values():
            queue["service"] = "other"
        self.trial.write_config()
        time.sleep(CONFIG_APPLY_S)
        for daemon in self.trial.daemons:
            self.trial.terminate(daemon)
        for daemon in self.trial.daemons:
            self.trial.start(daemon)
        cluster.wait_until(self.trial.daemons_ready, 20, "daemons are ready")
        self.check_counts(1)
        self.wait_for_counts()
        self.trial.vms[0].label = "none"
        for number in range(JOBS):
            cluster.wait_until(
                lambda: self.call(self.trial.daemons[0], "GET",
                                  "%016x" % (number + 1))[1].get("state") ==
                "completed", 30, "job %d is completed" % number)

    @with_trial
    def test_job_in_the_former_service_is_found(self):
        # A job stays in its pool, and every daemon tells its state.
        self.submit_jobs()
        job = "%016x" % 1
        self.move_queue("other")
        time.sleep(CONFIG_APPLY_S)
        for daemon in self.trial.daemons:
            self.assertEqual(self.call(daemon, "GET", job),
                             (200, {"state": "queued"}))
        self.assertEqual(
            self.call(self.trial.daemons[0], "DELETE", job)[0], 200)
        for daemon in self.trial.daemons:
            cluster.wait_until(
                lambda: self.call(daemon, "GET", job) ==
                (200, {"state": "cancelled"}), 5, "the job is cancelled")
            cluster.wait_until(
                lambda: self.call(daemon, "GET") ==
                (200, {"pending": JOBS - 1}), 5, "the job is not counted")

    @with_trial
    def test_count_after_the_queue_has_moved_back(self):
        self.submit_jobs()
        for service in ("other", "svc"):
            self.move_queue(service)
            self.check_counts(1)
        self.wait_for_counts()
