"""The operator platform's store, as a stand-in: rows, transactions, a feed."""

import base64
import re
import threading
import time

HISTORY = 4000
ADDRESS = re.compile(rb"127\.0\.0\.1:(\d{5})")


class Store:
    """Rows by (table, part, key). Each daemon sees addresses of its own."""

    def __init__(self):
        self.changed = threading.Condition()
        self.version = 0
        self.rows = {}
        self.history = []
        self.oldest = 0
        # Set by faults.
        self.busy = False
        self.slow_s = 0
        self.lose_share = 0
        # Addresses as a daemon reaches them: {reader: {port: port}}.
        self.views = {}

    def put(self, table, key, value, part=""):
        """A write of the operator, or of a VM."""
        with self.changed:
            self._apply([(table, part, key, value)])

    def remove(self, table, key, part=""):
        with self.changed:
            self._apply([(table, part, key, None)])

    def forget_history(self):
        with self.changed:
            self.history = []
            self.oldest = self.version

    def _apply(self, changes):
        self.version += 1
        for table, part, key, value in changes:
            if value is None:
                self.rows.pop((table, part, key), None)
            else:
                self.rows[table, part, key] = (self.version, value)
            self.history.append((self.version, table, part, key, value))
        while len(self.history) > HISTORY:
            self.oldest = self.history.pop(0)[0]
        self.changed.notify_all()
        return self.version

    def _row(self, reader, table, part, key, version, value):
        out = {"table": table, "part": part, "key": key, "ver": version}
        if value is None:
            out["removed"] = True
        else:
            view = self.views.get(reader, {})
            seen = ADDRESS.sub(
                lambda m: b"127.0.0.1:%d" % view.get(int(m[1]), int(m[1])),
                value)
            out["value"] = base64.b64encode(seen).decode()
        return out

    def answer(self, reader, path, query, body):
        """Returns (status, body)."""
        now = {"now_ms": int(time.monotonic() * 1000)}
        if path == "/v1/rows-tx":
            status, out = self._transact(reader, body)
        elif path == "/v1/rows-get":
            status, out = self._range(reader, query)
        elif path == "/v1/rows-feed":
            status, out = self._feed(reader, query)
        else:
            return 404, now
        return status, {**out, **now}

    def _transact(self, reader, body):
        name = lambda entry: (entry["table"], entry["part"], entry["key"])
        with self.changed:
            checks = body.get("expected_rev", [])
            if any(self.rows.get(name(c), (0,))[0] != c["ver"]
                   for c in checks):
                found = [self._row(reader, *name(c), *self.rows[name(c)])
                         for c in checks if name(c) in self.rows]
                return 412, {"rows": found, "ver": self.version}
            changes = [(*name(w), base64.b64decode(w["value"]))
                       for w in body.get("writes", [])]
            changes += [(*name(r), None) for r in body.get("remove", [])]
            return 200, {"ver": self._apply(changes)}

    def _range(self, reader, query):
        limit = min(int(query.get("limit", 500)), 500)
        with self.changed:
            names = sorted(
                name for name in self.rows
                if name[:2] == (query["table"], query.get("part", "")) and
                name[2] >= query.get("from", "") and
                ("target" not in query or name[2] < query["target"]))
            return 200, {"rows": [self._row(reader, *name, *self.rows[name])
                                  for name in names[:limit]],
                         "has_more": len(names) > limit, "ver": self.version}

    def _feed(self, reader, query):
        after = int(query["after"])
        end = time.monotonic() + min(int(query.get("wait_ms", 0)), 30000) / 1e3
        with self.changed:
            while True:
                if after < self.oldest:
                    return 410, {}
                new = [self._row(reader, table, part, key, version, value)
                       for version, table, part, key, value in self.history
                       if version > after and table == query["table"]]
                left = end - time.monotonic()
                if new or left <= 0:
                    return 200, {"rows": new, "ver": self.version}
                self.changed.wait(left)
