"""Concurrent callers and operators that record their calls and responses."""

import json
import random
import threading
import time

import cluster

CALL_PAUSE_S = 0.02
JOB_PAUSE_S = 0.3
CONTRACT_CHANGE_PAUSE_S = 1.0
VERSION_READ_PAUSE_S = 0.3
MAX_ATTEMPTS = 4


class Workload:
    """Threads that send requests, submit jobs, change contracts and read
    contract versions until stopped."""

    def __init__(self, test_cluster, seed, customers=("refuge", "counter")):
        self.cluster = test_cluster
        self.customers = customers
        self.calls = []
        self.jobs = []
        self.accepted_changes = []
        self.version_conflicts = 0
        self.version_observations = []
        self._random = random.Random(seed)
        self._lock = threading.Lock()
        self._stopping = threading.Event()
        self._threads = []
        self._name_count = 0
        self.errors = []

    def start(self, callers=6, submitters=2, operators=2):
        actions = ([self._call_service] * callers +
                   [self._submit_job] * submitters +
                   [self._change_contract] * operators +
                   [self._version_reader(d)
                    for d in self.cluster.daemons.values()])
        for number, action in enumerate(actions):
            rng = random.Random(self._random.random() + number)
            thread = threading.Thread(target=self._run_repeatedly,
                                      args=(action, rng))
            thread.start()
            self._threads.append(thread)

    def stop(self):
        self._stopping.set()
        for thread in self._threads:
            thread.join()
        if self.errors:
            raise self.errors[0]

    def _run_repeatedly(self, action, rng):
        while not self._stopping.is_set():
            try:
                time.sleep(action(rng))
            except Exception as error:  # raised by stop()
                self.errors.append(error)
                return

    def _unique_name(self, kind):
        with self._lock:
            self._name_count += 1
            return "%s%d" % (kind, self._name_count)

    def _random_daemon(self, rng):
        return rng.choice(list(self.cluster.daemons.values()))

    def _call_service(self, rng):
        kind = rng.choice(["idempotent", "plain", "ticket", "key"])
        mark = self._unique_name(kind)
        # 900 ms is longer than shutdown_linger in trial.TIMINGS_MS.
        work_ms = rng.choice([1, 1, 20, 20, 100, 900])
        body = json.dumps({"mark": mark, "work_ms": work_ms,
                           "fill": "x" * rng.choice([1, 5000])})
        headers = {"X-Deadline-Ms": "2500"}
        customer = rng.choice(self.customers)
        daemon = self._random_daemon(rng)
        if kind == "key":
            headers["Idempotency-Key"] = mark
        if kind == "ticket":
            ticket = self._get_ticket(daemon)
            if ticket is None:
                return CALL_PAUSE_S
            headers["X-Ticket"] = ticket
        # A caller may resend a request that must run only once if it carries
        # a ticket or a key. Some are resent even after a response.
        max_attempts = 1 if kind in ("idempotent", "plain") else MAX_ATTEMPTS
        for _ in range(max_attempts):
            outcome = self._send_and_record(daemon, customer, mark, body,
                                            kind == "idempotent", headers)
            if outcome == "done" and rng.random() < 0.7:
                break
            daemon = self._random_daemon(rng)
            time.sleep(CALL_PAUSE_S)
        return CALL_PAUSE_S

    def _get_ticket(self, daemon):
        try:
            status, _, text = daemon.call("POST", "/v1/tickets", timeout=2)
            return json.loads(text)["ticket"] if status == 200 else None
        except (OSError, ValueError, cluster.http.client.HTTPException):
            return None

    def _send_and_record(self, daemon, customer, mark, body, idempotent,
                         headers):
        began = time.monotonic_ns()
        try:
            outcome, _, response = cluster.request(
                daemon, customer, body=body, idempotent=idempotent,
                headers=headers, timeout=8)
        except ConnectionRefusedError:
            outcome, response = "refused", b""
        except (OSError, cluster.http.client.HTTPException):
            # The caller cannot know whether the request was run.
            outcome, response = "broken", b""
        with self._lock:
            self.calls.append(dict(
                mark=mark, outcome=outcome, body=body, daemon=daemon.name,
                answer=response.decode(), idempotent=idempotent, began=began,
                ended=time.monotonic_ns()))
        return outcome

    def _submit_job(self, rng):
        name = self._unique_name("job")
        job = dict(id=name, customer=rng.choice(self.customers),
                   kind=rng.choice(["batch", "batch", "gang"]),
                   tasks=rng.randint(1, 4), memory_mb=1000,
                   milli_cores=rng.choice([500, 1000, 4000]),
                   # 7 s is longer than a takeover and the longest lease.
                   duration_ms=rng.choice([50, 300, 1000, 7000]),
                   restartable=rng.random() < 0.7)
        for _ in range(MAX_ATTEMPTS):
            daemon = self._random_daemon(rng)
            try:
                status, _, text = daemon.call("POST", "/v1/jobs", job,
                                              timeout=10)
            except (OSError, cluster.http.client.HTTPException):
                continue
            if status == 202:
                with self._lock:
                    self.jobs.append(dict(job, id=json.loads(text)["id"]))
                break
        return JOB_PAUSE_S

    def _change_contract(self, rng):
        customer = rng.choice(self.customers)
        daemon = self._random_daemon(rng)
        try:
            status, response = daemon.operator_call(
                "GET", "/v1/contracts/" + customer)
            if status != 200 or not response["terms"]:
                return CONTRACT_CHANGE_PAUSE_S
            terms = dict(response["terms"])
            terms["task_start_within_ms"] = rng.randint(1000, 60000)
            status, response = daemon.operator_call(
                "PUT", "/v1/contracts/" + customer,
                {"expected_version": response["version"], "terms": terms})
        except (OSError, ValueError, cluster.http.client.HTTPException):
            return CONTRACT_CHANGE_PAUSE_S
        with self._lock:
            if response.get("accepted"):
                version = [
                    c["version"] for c in response["contract"]["history"]
                    if c["change_id"] == response["change_id"]][0]
                self.accepted_changes.append(
                    dict(t=time.monotonic_ns(), customer=customer,
                         version=version))
            elif status == 409:
                self.version_conflicts += 1
        return CONTRACT_CHANGE_PAUSE_S

    def _version_reader(self, daemon):
        def read_versions(_):
            began = time.monotonic_ns()
            try:
                status, response = daemon.operator_call("GET", "/v1/contracts")
            except (OSError, ValueError, cluster.http.client.HTTPException):
                return VERSION_READ_PAUSE_S
            # The response may be delayed. It describes some time after the
            # call began, so that the start is the time it can vouch for.
            if status == 200 and response["applied"] > 0:
                with self._lock:
                    self.version_observations += [
                        dict(t=began, daemon=daemon.name,
                             customer=each["customer"],
                             version=each["version"])
                        for each in response["contracts"]]
            return VERSION_READ_PAUSE_S
        return read_versions
