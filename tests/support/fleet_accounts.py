"""Client accounts of a fleet trial, whose keys come and go during the load."""

import http.client
import json
import random
import threading
import time

import cluster

CONFIG_APPLY_MS = 3000
MAX_STRETCH_MS = 6000
# A changed key is in force after this long, or the daemon answers 503. The
# margin is for a response of the store that was under way at the change.
BOUND_S = (CONFIG_APPLY_MS + MAX_STRETCH_MS) / 1e3 + 1
# Before a key is removed, clients stop using it for longer than a call takes.
LAST_CALL_S = 4
ROTATE_INTERVAL_S = 2
PROBE_INTERVAL_S = 0.05
# The job of a probe, which no daemon may accept.
PROBE_JOB = {"spec": "{}", "steps": [{"cpu": 500, "mem_mb": 200}]}


class Key:
    def __init__(self, value, added_at, usable_at):
        self.value, self.added_at, self.usable_at = value, added_at, usable_at
        self.removed_at = None


class Accounts:
    """Rotates the accounts' keys, and probes daemons with wrong ones."""

    def __init__(self, trial, names, rng):
        self.trial, self.rng = trial, rng
        self.lock = threading.Lock()
        # The first keys are there before the daemons start. One is removed
        # soon.
        self.keys = {name: [self.make_key(0), self.make_key(0)]
                     for name in names}
        self.retired = []
        self.retiring = set()
        self.violations = []
        # Conclusive answers to probes, by kind.
        self.probes = {}

    def make_key(self, now):
        return Key("key-%032x" % self.rng.getrandbits(128), now,
                   now + BOUND_S if now else 0)

    def tenants(self):
        """Returns the accounts as the configuration has them."""
        with self.lock:
            return [{"name": name, "api_keys": [key.value for key in keys],
                     "weight": 1, "max_count": {"cpu": 0}}
                    for name, keys in self.keys.items()]

    def header(self, name, key=None):
        """Returns the header of a call by the account."""
        if key is None:
            now = time.monotonic()
            with self.lock:
                key = next(key for key in self.keys[name]
                           if key.usable_at <= now and
                           key not in self.retiring).value
        return {"Authorization": "Bearer " + key}

    def rotate(self, seconds):
        """Adds and removes keys; each account has a usable one at any time."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            self.add_and_retire()
            time.sleep(LAST_CALL_S)
            self.remove_retired()
            time.sleep(ROTATE_INTERVAL_S)

    def add_and_retire(self):
        """Adds a key to each account, and picks those to be removed."""
        with self.lock:
            for keys in self.keys.values():
                # Counts as added when the write has been acknowledged.
                keys.append(self.make_key(time.monotonic() + 1))
        self.trial.write_config()
        now = time.monotonic()
        with self.lock:
            for keys in self.keys.values():
                usable = [key for key in keys if key.usable_at <= now]
                self.retiring.update(usable[:-1])

    def remove_retired(self):
        with self.lock:
            removed = list(self.retiring)
            for keys in self.keys.values():
                keys[:] = [key for key in keys if key not in self.retiring]
            self.retiring.clear()
        self.trial.write_config()
        now = time.monotonic()
        with self.lock:
            for key in removed:
                key.removed_at = now
            self.retired += removed

    def probe(self, seconds):
        """Makes calls that must be refused, or must not be, for a while."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            for probe in (self.probe_unknown, self.probe_removed,
                          self.probe_added, self.probe_foreign):
                probe()
                time.sleep(PROBE_INTERVAL_S)

    def call(self, method, path, header, body=None):
        """Returns (status, body), or (None, b"") without a response."""
        try:
            status, _, text = cluster.call(
                self.trial.random_daemon().frontend_port, method, path, body,
                {"Host": "h", "Deadline-Ms": "3000",
                 "Content-Type": "application/json", **header}, timeout=4)
        except (OSError, http.client.HTTPException):
            return None, b""
        return status, text

    def path(self, job=""):
        queue = random.choice(list(self.trial.queues.values()))
        return queue["path_prefix"] + job

    def record(self, kind, status, allowed, detail):
        """Counts a probe that was answered; 503 and no answer prove nothing."""
        if status in (None, 503, 504):
            return
        self.probes[kind] = self.probes.get(kind, 0) + 1
        if status not in allowed:
            self.violations.append("%s: %s got status %s" % (kind, detail,
                                                             status))

    def submit(self, kind, header, detail):
        job = "%016x" % random.getrandbits(64)
        # Known to the simulation, in case a daemon does accept it.
        self.trial.simulation.jobs[job] = PROBE_JOB
        status, _ = self.call("POST", self.path(job), header, PROBE_JOB)
        self.record(kind, status, (401,), detail)

    def probe_unknown(self):
        """A key that no configuration ever had, or none, is refused."""
        header = random.choice((
            {}, {"Authorization": "Bearer"},
            {"Authorization": "Bearer key-%032x" % random.getrandbits(128)}))
        if random.random() < 0.5:
            return self.submit("unknown key", header, "POST")
        method = random.choice(("GET", "DELETE"))
        job = "%016x" % random.getrandbits(64)
        status, _ = self.call(method, self.path(
            "" if method == "GET" and random.random() < 0.5 else job), header)
        self.record("unknown key", status, (401,), method)

    def probe_removed(self):
        """A key brings no job once it has been removed for long enough."""
        now = time.monotonic()
        with self.lock:
            removed = [key for key in self.retired
                       if now - key.removed_at > BOUND_S]
        if removed:
            key = random.choice(removed)
            self.submit("removed key", self.header(None, key.value),
                        "POST %.1f s after" % (now - key.removed_at))

    def probe_added(self):
        """A key that was added long enough ago isn't called unknown."""
        name = random.choice(list(self.keys))
        status, _ = self.call("GET", self.path(), self.header(name))
        self.record("added key", status, (200,), "GET of the count")

    def probe_foreign(self):
        """An account learns nothing of another one's job."""
        accepted = [call for call in list(self.trial.load.calls)
                    if call["accepted"]]
        if not accepted:
            return
        call = random.choice(accepted)
        other = random.choice([name for name in self.keys
                               if name != call["account"]])
        path = (self.trial.queues[call["queue"]]["path_prefix"] + call["job"])
        header = self.header(other)
        method = random.choice(("GET", "DELETE", "POST"))
        if method == "POST":
            status, text = self.call(
                "POST", path, header, self.trial.simulation.jobs[call["job"]])
            if status == 409 and json.loads(text) != {"error": "id_in_use"}:
                status = text
            return self.record("foreign job", status, (409,), method)
        status, _ = self.call(method, path, header)
        self.record("foreign job", status, (410,), method)
