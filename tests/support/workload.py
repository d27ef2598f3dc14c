"""Concurrent callers and operators, who write down what they did and saw."""

import json
import random
import threading
import time

import cluster

CALL_PAUSE_S = 0.02
JOB_PAUSE_S = 0.3
OPERATOR_PAUSE_S = 1.0
WATCH_PAUSE_S = 0.3
TRIES = 4


class Workload:
    """Runs callers, job submitters, operators and watchers until stopped."""

    def __init__(self, running, seed, customers=("refuge", "counter")):
        self.running = running
        self.customers = customers
        self.calls = []
        self.jobs = []
        self.accepted = []
        self.conflicts = 0
        self.observations = []
        self._random = random.Random(seed)
        self._lock = threading.Lock()
        self._stopping = threading.Event()
        self._threads = []
        self._count = 0
        self.errors = []

    def start(self, callers=6, submitters=2, operators=2):
        plans = ([self._call] * callers + [self._submit] * submitters +
                 [self._operate] * operators +
                 [self._watcher(d) for d in self.running.daemons.values()])
        for number, plan in enumerate(plans):
            rng = random.Random(self._random.random() + number)
            thread = threading.Thread(target=self._repeat, args=(plan, rng))
            thread.start()
            self._threads.append(thread)

    def stop(self):
        self._stopping.set()
        for thread in self._threads:
            thread.join()
        if self.errors:
            raise self.errors[0]

    def _repeat(self, plan, rng):
        while not self._stopping.is_set():
            try:
                time.sleep(plan(rng))
            except Exception as error:  # shown by stop()
                self.errors.append(error)
                return

    def _name(self, kind):
        with self._lock:
            self._count += 1
            return "%s%d" % (kind, self._count)

    def _daemon(self, rng):
        return rng.choice(list(self.running.daemons.values()))

    def _call(self, rng):
        kind = rng.choice(["idempotent", "plain", "ticket", "key"])
        mark = self._name(kind)
        # Some take longer than a planned stop lingers.
        work_ms = rng.choice([1, 1, 20, 20, 100, 900])
        body = json.dumps({"mark": mark, "work_ms": work_ms,
                           "fill": "x" * rng.choice([1, 5000])})
        headers = {"X-Deadline-Ms": "2500"}
        customer = rng.choice(self.customers)
        daemon = self._daemon(rng)
        if kind == "key":
            headers["Idempotency-Key"] = mark
        if kind == "ticket":
            ticket = self._ticket(daemon)
            if ticket is None:
                return CALL_PAUSE_S
            headers["X-Ticket"] = ticket
        # Only named requests may be sent again by a caller who wants it once;
        # now and then they are, though the first try was answered.
        tries = 1 if kind in ("idempotent", "plain") else TRIES
        for _ in range(tries):
            outcome = self._send(daemon, customer, mark, body,
                                 kind == "idempotent", headers)
            if outcome == "done" and rng.random() < 0.7:
                break
            daemon = self._daemon(rng)
            time.sleep(CALL_PAUSE_S)
        return CALL_PAUSE_S

    def _ticket(self, daemon):
        try:
            status, _, text = daemon.call("POST", "/v1/tickets", timeout=2)
            return json.loads(text)["ticket"] if status == 200 else None
        except (OSError, ValueError, cluster.http.client.HTTPException):
            return None

    def _send(self, daemon, customer, mark, body, idempotent, headers):
        began = time.monotonic_ns()
        try:
            outcome, _, answer = cluster.request(
                daemon, customer, body=body, idempotent=idempotent,
                headers=headers, timeout=8)
        except ConnectionRefusedError:
            outcome, answer = "refused", b""
        except (OSError, cluster.http.client.HTTPException):
            # What the daemon made of it is not known to the caller.
            outcome, answer = "broken", b""
        with self._lock:
            self.calls.append(dict(
                mark=mark, outcome=outcome, body=body, daemon=daemon.name,
                answer=answer.decode(), idempotent=idempotent, began=began,
                ended=time.monotonic_ns()))
        return outcome

    def _submit(self, rng):
        name = self._name("job")
        job = dict(id=name, customer=rng.choice(self.customers),
                   kind=rng.choice(["batch", "batch", "gang"]),
                   tasks=rng.randint(1, 4), memory_mb=1000,
                   milli_cores=rng.choice([500, 1000, 4000]),
                   # Some outlast a takeover and the lapse of leases.
                   duration_ms=rng.choice([50, 300, 1000, 7000]),
                   restartable=rng.random() < 0.7)
        for _ in range(TRIES):
            daemon = self._daemon(rng)
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

    def _operate(self, rng):
        customer = rng.choice(self.customers)
        daemon = self._daemon(rng)
        try:
            status, answer = daemon.operator("GET",
                                             "/v1/contracts/" + customer)
            if status != 200 or not answer["terms"]:
                return OPERATOR_PAUSE_S
            terms = dict(answer["terms"])
            terms["task_start_within_ms"] = rng.randint(1000, 60000)
            status, answer = daemon.operator(
                "PUT", "/v1/contracts/" + customer,
                {"expected_version": answer["version"], "terms": terms})
        except (OSError, ValueError, cluster.http.client.HTTPException):
            return OPERATOR_PAUSE_S
        with self._lock:
            if answer.get("accepted"):
                version = [c["version"] for c in answer["contract"]["history"]
                           if c["change_id"] == answer["change_id"]][0]
                self.accepted.append(dict(t=time.monotonic_ns(),
                                          customer=customer, version=version))
            elif status == 409:
                self.conflicts += 1
        return OPERATOR_PAUSE_S

    def _watcher(self, daemon):
        def watch(_):
            began = time.monotonic_ns()
            try:
                status, answer = daemon.operator("GET", "/v1/contracts")
            except (OSError, ValueError, cluster.http.client.HTTPException):
                return WATCH_PAUSE_S
            # An answer that was held up says little about when it was true;
            # its start is the earliest time for which it can speak.
            if status == 200 and answer["applied"] > 0:
                with self._lock:
                    self.observations += [
                        dict(t=began, daemon=daemon.name,
                             customer=each["customer"],
                             version=each["version"])
                        for each in answer["contracts"]]
            return WATCH_PAUSE_S
        return watch
