"""Clients of a fleet trial, which submit jobs and poll until they end."""

import http.client
import json
import random
import threading
import time

# An accepted job must be known to every daemon after this long.
MAX_VISIBILITY_DELAY_S = 3
POLL_INTERVAL_S = 0.25


class JobLoad:
    """Submits random jobs, each from its own thread; records the calls."""

    def __init__(self, trial, rng, crash_share=0):
        self.trial, self.rng = trial, rng
        # Share of the jobs whose first task crashes each VM that starts it.
        self.crash_share = crash_share
        self.calls = []
        self.threads = []
        self.stopped = False

    def make_job(self):
        steps = []
        for step_number in range(self.rng.randint(1, 3)):
            step = {"count": self.rng.randint(1, 6),
                    "cpu": self.rng.choice((500, 1000, 2000, 4000)),
                    "mem_mb": 200, "estimate_ms": self.rng.randint(50, 900)}
            if step_number:
                step["after"] = [step_number - 1]
            if self.rng.random() < 0.15:
                step.update(gang=True, count=2)
            elif self.rng.random() < 0.2:
                # Without a draw, so that a seed keeps its other values.
                step["anti_affinity"] = 1 + step["count"] % 2
            if self.rng.random() < 0.2:
                step["requires"] = self.rng.choice(self.trial.zones)
            steps.append(step)
        spec = {"fails": self.rng.choice((0, 0, 0.1))}
        if self.crash_share:
            spec["crashes"] = self.rng.random() < self.crash_share
        return {"spec": json.dumps(spec), "steps": steps}

    def run(self, seconds, jobs_per_s):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            job = "%016x" % self.rng.getrandbits(64)
            body = self.make_job()
            self.trial.simulation.jobs[job] = body
            queue = self.rng.choice(list(self.trial.queues))
            call = {"job": job, "queue": queue, "state": None,
                    "reason": None, "problems": [],
                    "open": {}, "accepted": None, "refused": False,
                    "cancelled": False,
                    "attempts": self.trial.queues[queue]["attempts"]}
            if self.trial.accounts:
                call["account"] = random.choice(
                    list(self.trial.accounts.keys))
            self.calls.append(call)
            will_cancel = self.rng.random() < 0.05
            thread = threading.Thread(target=self.run_client, daemon=True,
                                      args=(call, body, will_cancel))
            thread.start()
            self.threads.append(thread)
            time.sleep(self.rng.expovariate(jobs_per_s))

    def send_request(self, method, call, body=None):
        """Returns (status, body), or (None, None) without a valid response."""
        port = self.trial.random_daemon().frontend_port
        path = self.trial.queues[call["queue"]]["path_prefix"] + call["job"]
        headers = {"Host": "h", "Deadline-Ms": "3000",
                   "Content-Type": "application/json"}
        if self.trial.accounts:
            headers.update(self.trial.accounts.header(call["account"]))
        # Connections are reused until the daemon closes them or has exited.
        connection = (call["open"].pop(port, None) or
                      http.client.HTTPConnection("127.0.0.1", port,
                                                 timeout=3.5))
        try:
            connection.request(method, path, body and json.dumps(body),
                               headers)
            response = connection.getresponse()
            text = response.read()
            call["open"][port] = connection
            return response.status, json.loads(text) if text else {}
        except (OSError, http.client.HTTPException, ValueError):
            connection.close()
            return None, None

    def run_client(self, call, body, will_cancel):
        try:
            self.submit_and_poll(call, body, will_cancel)
        finally:
            for connection in call["open"].values():
                connection.close()

    def submit_and_poll(self, call, body, will_cancel):
        self.submit(call, body)
        if call["refused"]:
            return
        while not self.stopped and call["state"] is None:
            time.sleep(POLL_INTERVAL_S)
            if will_cancel and not call["cancelled"]:
                # The job may be cancelled whatever the response is.
                call["cancelled"] = True
                self.send_request("DELETE", call)
            sent_at = time.monotonic()
            status, response = self.send_request("GET", call)
            if status == 200 and response["state"] in ("completed", "failed",
                                                       "cancelled"):
                call["state"] = response["state"]
                call["reason"] = response.get("reason")
            accepted_for_s = sent_at - (call["accepted"] or sent_at)
            if status == 410 and accepted_for_s > MAX_VISIBILITY_DELAY_S:
                call["problems"].append("status 410 %.1f s after acceptance" %
                                        accepted_for_s)
                return
            if status == 410 and call["accepted"] is None:
                return

    def submit(self, call, body):
        outcome_unknown = False
        for _ in range(20):
            status, _ = self.send_request("POST", call, body)
            if status == 200:
                call["accepted"] = time.monotonic()
                return
            if status in (429, 503):
                # This attempt was not run, but an earlier one whose outcome
                # is unknown may have been.
                call["refused"] = not outcome_unknown
                return
            if status == 404 and (
                    time.monotonic() < self.trial.queues_missing_until):
                time.sleep(POLL_INTERVAL_S)
                continue
            if status not in (None, 502, 504):
                call["problems"].append("POST returned status %s" % status)
                return
            outcome_unknown = True
            time.sleep(POLL_INTERVAL_S)
