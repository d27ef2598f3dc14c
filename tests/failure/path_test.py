"""The system without faults, and invalid input to its HTTP interface."""

import json
import os
import socket
import subprocess
import unittest

import cluster

BUILD = os.environ["CUMINROAD_BUILD"]


class PathTest(unittest.TestCase):
    """All tests share one cluster."""

    @classmethod
    def setUpClass(cls):
        cls.cluster = cluster.Cluster(BUILD)
        cls.cluster.start()
        cls.cluster.create_contract("refuge", requests=20)
        cls.daemon = cls.cluster.daemons["d1-a"]

    @classmethod
    def tearDownClass(cls):
        cls.cluster.stop()

    def test_response_is_complete(self):
        body = json.dumps({"text": "x" * 100000})
        outcome, status, text = cluster.request(self.daemon, "refuge",
                                                body=body)
        self.assertEqual((outcome, status), ("done", 200))
        self.assertEqual(text.decode(), body)

    def test_new_contract_is_in_force_on_every_daemon(self):
        self.cluster.create_contract("newcomer")
        for daemon in self.cluster.daemons.values():
            outcome, _, _ = cluster.request(daemon, "newcomer", body="{}")
            self.assertEqual(outcome, "done", daemon.name)

    def test_named_job_is_accepted_once(self):
        job = dict(id="night-1", customer="refuge", kind="batch", tasks=2,
                   milli_cores=100, memory_mb=100, duration_ms=50)
        ids = set()
        for daemon in self.cluster.daemons.values():
            status, _, text = daemon.call("POST", "/v1/jobs", job)
            self.assertEqual(status, 202, text)
            ids.add(json.loads(text)["id"])
        self.assertEqual(len(ids), 1, ids)

    def test_operators_need_the_token(self):
        for headers in ({}, {"Authorization": "Bearer wrong-secret"},
                        {"Authorization": cluster.OPERATOR_TOKEN}):
            status, _, _ = self.daemon.call("GET", "/v1/state",
                                            headers=headers)
            self.assertEqual(status, 401)
        with open(self.daemon.log_path) as log:
            self.assertNotIn(cluster.OPERATOR_TOKEN, log.read())

    def test_invalid_input_gets_a_numbered_error(self):
        job = dict(customer="refuge", kind="batch", milli_cores=1, memory_mb=1)
        invalid_jobs = ["", "{", "[]", "null", dict(job, colour="red"),
                        dict(job, tasks=-1), dict(job, memory_mb=2**63),
                        dict(job, milli_cores=1e300), dict(job, kind="dance"),
                        dict(job, tasks="3")]
        for invalid in invalid_jobs:
            status, _, text = self.daemon.call("POST", "/v1/jobs", invalid)
            self.assertEqual(status, 400, (invalid, text))
            self.assertGreaterEqual(json.loads(text)["error"]["number"], 100)
        status, _, _ = self.daemon.call(
            "POST", "/v1/jobs", dict(job, customer="stranger"))
        self.assertEqual(status, 404)

    def test_oversized_body_is_refused(self):
        status, _, _ = self.daemon.call("POST", "/v1/jobs", "x" * (2 << 20))
        self.assertEqual(status, 413)
        self.assertTrue(self.daemon.ready())

    def test_truncated_request_leaves_the_daemon_serving(self):
        for raw in (b"POST /v1/jobs HTTP/1.1\r\nContent-Length: 50\r\n\r\nab",
                    b"GARBAGE\r\n\r\n", b"POST /v1/jo"):
            with socket.create_connection(
                    ("127.0.0.1", self.daemon.http_port)) as connection:
                connection.sendall(raw)
        self.assertTrue(self.daemon.ready())

    def test_invalid_headers_are_refused(self):
        for headers in ({"X-Deadline-Ms": "soon"}, {"X-Deadline-Ms": "-5"},
                        {"X-Deadline-Ms": "99999999"},
                        {"X-Idempotent": "perhaps"},
                        {"X-Ticket": "a", "Idempotency-Key": "b"},
                        {"X-Ticket": "nonsense"}):
            outcome, status, text = cluster.request(
                self.daemon, "refuge", body="{}", headers=headers)
            self.assertEqual(status, 400, (headers, outcome, text))

    def test_exit_codes_of_the_command_line(self):
        def run(*arguments):
            return subprocess.run(
                [os.path.join(BUILD, "programs", "cuminroad"), *arguments],
                capture_output=True, timeout=60).returncode
        server = "127.0.0.1:%d" % self.daemon.http_port
        self.assertEqual(run("--help"), 0)
        self.assertEqual(run("status", "--help"), 0)
        self.assertEqual(run("dance"), 2)
        self.assertEqual(run("status", "--bogus"), 2)
        self.assertEqual(run("status", "--server", server, "--token", "x"), 1)
        self.assertEqual(run("status", "--server", server, "--token",
                             cluster.OPERATOR_TOKEN), 0)
        self.assertEqual(run("status", "--server", "127.0.0.1:1"), 4)

    def test_conflicting_version_shows_both(self):
        status, response = self.daemon.operator_call(
            "PUT", "/v1/contracts/refuge",
            {"expected_version": 9, "terms": dict(
                milli_cores=1, memory_mb=1, requests=1, task_start_within_ms=1,
                request_start_within_ms=1)})
        self.assertEqual(status, 409)
        self.assertIn("expected 9, found 1", response["error"]["detail"])

    def test_impossible_job_is_refused_with_the_reason(self):
        job = dict(customer="refuge", kind="gang", tasks=50, memory_mb=1000,
                   milli_cores=9000)
        status, headers, text = self.daemon.call("POST", "/v1/jobs", job)
        self.assertEqual(status, 422)
        self.assertEqual(headers["X-Outcome"], "not_run")
        self.assertEqual(json.loads(text)["error"]["name"], "job_never_fits")


if __name__ == "__main__":
    unittest.main()
