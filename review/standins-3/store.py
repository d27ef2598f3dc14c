"""A stand-in for the platform's store: rows, transactions and a feed, as
PROTOCOL.md describes them, on the real clock.

Each daemon gets an address of its own, so that the store can treat the
machines differently. A fault is a function that is called for each call of a
daemon: fault(call, perform), with call = {"daemon", "path", "query", "body"}
and perform = a function that carries the call out and returns (status, body).
It returns (status, body), or None to close the channel without an answer.
"""

import base64
import json
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qsl, urlsplit

ANSWER_S = 0.004
MAX_ROWS = 500
MAX_FEED_WAIT_S = 30


def serve(port, handle):
    """Serves HTTP/1.1 on a loopback port, in threads.

    handle(method, path, query, headers, body) returns (status, body), or None
    to close the channel without an answer.
    """

    class Handler(BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"
        disable_nagle_algorithm = True
        wbufsize = -1

        def answer(self):
            parts = urlsplit(self.path)
            text = self.rfile.read(int(self.headers.get("Content-Length", 0)))
            result = handle(self.command, parts.path,
                            dict(parse_qsl(parts.query, True)), self.headers,
                            json.loads(text) if text else {})
            if result is None:
                self.close_connection = True
                return
            data = json.dumps(result[1]).encode()
            self.send_response(result[0])
            self.send_header("Content-Type", "application/json")
            self.send_header("Content-Length", str(len(data)))
            self.end_headers()
            self.wfile.write(data)

        do_GET = do_POST = do_DELETE = do_PUT = answer

        def log_message(self, *_):
            pass

    class Server(ThreadingHTTPServer):
        daemon_threads = True
        request_queue_size = 128

        def handle_error(self, *_):
            pass  # Writes fail when the other side was killed.

    server = Server(("127.0.0.1", port), Handler)
    threading.Thread(target=server.serve_forever, args=(0.05,),
                     daemon=True).start()
    return server


class Store:
    def __init__(self):
        self.changed = threading.Condition()
        self.version = 0
        self.rows = {}
        self.history = []
        self.oldest = 0
        self.answer_s = ANSWER_S
        self.fault = None
        self.epoch = time.monotonic()

    # Writes of the operator and of the workers.

    def put(self, table, key, value, part=""):
        with self.changed:
            return self._apply([((table, part, key),
                                 json.dumps(value).encode())])

    def drop(self, table, key, part=""):
        with self.changed:
            return self._apply([((table, part, key), None)])

    def forget_history(self):
        with self.changed:
            self.history = []
            self.oldest = self.version
            self.changed.notify_all()

    def _apply(self, changes):
        self.version += 1
        for name, value in changes:
            if value is None:
                self.rows.pop(name, None)
            else:
                self.rows[name] = (self.version, value)
            self.history.append((self.version, name, value))
        self.changed.notify_all()
        return self.version

    # Calls of the daemons.

    def serve(self, port, daemon):
        def handle(_, path, query, headers, body):
            del headers
            call = {"daemon": daemon, "path": path, "query": query,
                    "body": body}
            perform = lambda: self.perform(call)
            fault = self.fault
            if fault is not None:
                return fault(call, perform)
            return perform()
        return serve(port, handle)

    def perform(self, call):
        time.sleep(self.answer_s)
        path, query, body = call["path"], call["query"], call["body"]
        if path == "/v1/rows-tx":
            status, out = self._transact(body)
        elif path == "/v1/rows-get":
            status, out = self._get(query)
        elif path == "/v1/rows-feed":
            status, out = self._feed(query)
        elif path == "/v1/rows-parts":
            status, out = self._parts(query)
        else:
            return 404, {}
        out["now_ms"] = int((time.monotonic() - self.epoch) * 1000) + 1
        return status, out

    @staticmethod
    def _name(entry):
        return entry["table"], entry.get("part", ""), entry["key"]

    def _encode(self, name, version, value):
        row = {"table": name[0], "part": name[1], "key": name[2],
               "ver": version}
        if value is None:
            row["removed"] = True
        else:
            row["value"] = base64.b64encode(value).decode()
        return row

    def _transact(self, body):
        entries = [*body.get("writes", []), *body.get("remove", [])]
        if any(e["table"] in ("op", "servers") for e in entries):
            return 403, {}
        with self.changed:
            checks = body.get("expected_rev", [])
            if any(self.rows.get(self._name(c), (0,))[0] != c["ver"]
                   for c in checks):
                return 412, {"ver": self.version, "rows": [
                    self._encode(self._name(c), *self.rows[self._name(c)])
                    for c in checks if self._name(c) in self.rows]}
            changes = [(self._name(w), base64.b64decode(w["value"]))
                       for w in body.get("writes", [])]
            changes += [(self._name(r), None) for r in body.get("remove", [])]
            return 200, {"ver": self._apply(changes)}

    def _get(self, query):
        limit = min(int(query.get("limit", MAX_ROWS)), MAX_ROWS)
        with self.changed:
            names = sorted(
                n for n in self.rows
                if n[:2] == (query["table"], query.get("part", "")) and
                n[2] >= query.get("from", "") and
                ("target" not in query or n[2] < query["target"]))
            return 200, {"rows": [self._encode(n, *self.rows[n])
                                  for n in names[:limit]],
                         "has_more": len(names) > limit, "ver": self.version}

    def _parts(self, query):
        with self.changed:
            parts = sorted({n[1] for n in self.rows if n[0] == query["table"]
                            and n[1] > query.get("after", "")})
            return 200, {"parts": parts[:1000], "ver": self.version}

    def _feed(self, query):
        after = int(query["after"])
        deadline = time.monotonic() + min(int(query.get("wait_ms", 0)) / 1e3,
                                          MAX_FEED_WAIT_S)
        with self.changed:
            while True:
                if after < self.oldest:
                    return 410, {}
                rows = [self._encode(name, version, value)
                        for version, name, value in self.history
                        if version > after and name[0] == query["table"]]
                left = deadline - time.monotonic()
                if rows or left <= 0:
                    return 200, {"rows": rows, "ver": self.version}
                self.changed.wait(left)
