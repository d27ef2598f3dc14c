"""A stand-in for the operator platform's store: rows, transactions, a feed."""

import base64
import contextlib
import re
import threading
import time

# Changes kept for feeds; a reader that is further behind gets status 410.
MAX_HISTORY_ROWS = 4000
LOOPBACK_ADDRESS = re.compile(rb"127\.0\.0\.1:(\d{5})")


class Store:
    """Versioned rows by (table, part, key).

    Each daemon reads addresses that lead through its own relays.
    """

    def __init__(self):
        self.changed = threading.Condition()
        self.version = 0
        self.rows = {}
        self.history = []
        self.oldest_version = 0
        # Set by faults.
        # The daemon whose calls are refused, None for all daemons, and the
        # status, by any key: faults that overlap end one by one.
        self.refusals = {}
        self.response_delay_s = 0
        self.lost_response_share = 0
        # The first is called in place of a transaction that writes a job's
        # request, with the daemon's name and a function that performs the
        # transaction. Returns what that one returned, or None to send no
        # response.
        self.write_faults = []
        # Ports in rows and the relay ports through which a daemon reaches
        # them: {daemon name: {port: relay port}}.
        self.port_maps = {}

    def refusal_status(self, daemon_name=None):
        """Returns with which status calls are refused, or None.

        Without a daemon's name: those of all daemons.
        """
        return next((status for name, status in list(self.refusals.values())
                     if name in (None, daemon_name)), None)

    @contextlib.contextmanager
    def refusing(self, daemon_name=None):
        """Refuses the calls of a daemon, or of all."""
        key = object()
        self.refusals[key] = (daemon_name, 503)
        yield
        self.refusals.pop(key, None)

    def put(self, table, key, value, part=""):
        """Writes a row on behalf of the operator or of a VM."""
        with self.changed:
            self._apply([(table, part, key, value)])

    def remove(self, table, key, part=""):
        with self.changed:
            self._apply([(table, part, key, None)])

    def forget_history(self):
        with self.changed:
            self.history = []
            self.oldest_version = self.version

    def _apply(self, changes):
        self.version += 1
        for table, part, key, value in changes:
            if value is None:
                self.rows.pop((table, part, key), None)
            else:
                self.rows[table, part, key] = (self.version, value)
            self.history.append((self.version, table, part, key, value))
        while len(self.history) > MAX_HISTORY_ROWS:
            self.oldest_version = self.history.pop(0)[0]
        self.changed.notify_all()
        return self.version

    def _encode_row(self, daemon_name, table, part, key, version, value):
        row = {"table": table, "part": part, "key": key, "ver": version}
        if value is None:
            row["removed"] = True
        else:
            port_map = self.port_maps.get(daemon_name, {})
            translated = LOOPBACK_ADDRESS.sub(
                lambda m: b"127.0.0.1:%d" % port_map.get(int(m[1]), int(m[1])),
                value)
            row["value"] = base64.b64encode(translated).decode()
        return row

    def handle(self, daemon_name, path, query, body):
        """Returns (status, body)."""
        clock = {"now_ms": int(time.monotonic() * 1000)}
        if path == "/v1/rows-tx":
            status, result = self._transact(daemon_name, body)
        elif path == "/v1/rows-get":
            status, result = self._list_rows(daemon_name, query)
        elif path == "/v1/rows-feed":
            status, result = self._read_feed(daemon_name, query)
        else:
            return 404, clock
        return status, {**result, **clock}

    def _transact(self, daemon_name, body):
        row_key = lambda entry: (entry["table"], entry["part"], entry["key"])
        with self.changed:
            checks = body.get("expected_rev", [])
            if any(self.rows.get(row_key(c), (0,))[0] != c["ver"]
                   for c in checks):
                conflicting = [
                    self._encode_row(daemon_name, *row_key(c),
                                     *self.rows[row_key(c)])
                    for c in checks if row_key(c) in self.rows]
                return 412, {"rows": conflicting, "ver": self.version}
            changes = [(*row_key(w), base64.b64decode(w["value"]))
                       for w in body.get("writes", [])]
            changes += [(*row_key(r), None) for r in body.get("remove", [])]
            return 200, {"ver": self._apply(changes)}

    def _list_rows(self, daemon_name, query):
        limit = min(int(query.get("limit", 500)), 500)
        with self.changed:
            row_keys = sorted(
                row_key for row_key in self.rows
                if row_key[:2] == (query["table"], query.get("part", "")) and
                row_key[2] >= query.get("from", "") and
                ("target" not in query or row_key[2] < query["target"]))
            return 200, {
                "rows": [self._encode_row(daemon_name, *row_key,
                                          *self.rows[row_key])
                         for row_key in row_keys[:limit]],
                "has_more": len(row_keys) > limit, "ver": self.version}

    def _read_feed(self, daemon_name, query):
        after = int(query["after"])
        deadline = (time.monotonic() +
                    min(int(query.get("wait_ms", 0)), 30000) / 1e3)
        with self.changed:
            while True:
                if after < self.oldest_version:
                    return 410, {}
                rows = [self._encode_row(daemon_name, table, part, key,
                                         version, value)
                        for version, table, part, key, value in self.history
                        if version > after and table == query["table"]]
                remaining_s = deadline - time.monotonic()
                if rows or remaining_s <= 0:
                    return 200, {"rows": rows, "ver": self.version}
                self.changed.wait(remaining_s)
