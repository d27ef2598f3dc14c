"""Stand-ins for the platform's store, for workers, and for a proxy that can be
cut, for the scripts of this review. Everything listens on loopback, in one
process, on one asyncio loop. They follow PROTOCOL.md; each limit that a worker
or the store keeps is named there."""

import asyncio
import base64
import bisect
import heapq
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time
from urllib.parse import parse_qsl, urlsplit

REPOSITORY = os.path.dirname(os.path.dirname(os.path.dirname(
    os.path.abspath(__file__))))
PROGRAM = ["target/programs/cuminroadd", "--platform"]  # deploy/system.toml
MAX_HOLD_MS = 6000
STOP_S = 0.1
ENDS_PER_ANSWER = 500  # PROTOCOL.md: the others are returned 500 at a time.
HISTORY_S = 20
HEARTBEAT_S = 1.5


def free_ports(count):
    """Returns (ports, reservation): loopback ports that nothing listens on.
    The reservation, a socket bound to the port before them, keeps other scripts
    away while it is open."""
    blocks = list(range(12000, 32000, count + 1))
    random.SystemRandom().shuffle(blocks)
    for first in blocks:
        reservation = socket.socket()
        probes = []
        try:
            reservation.bind(("127.0.0.1", first))
            for port in range(first + 1, first + 1 + count):
                probe = socket.socket()
                probes.append(probe)
                probe.bind(("127.0.0.1", port))
            return list(range(first + 1, first + 1 + count)), reservation
        except OSError:
            reservation.close()
        finally:
            for each in probes:
                each.close()
    raise OSError("no free ports")


async def read_message(reader):
    """Returns (first line, headers, body), or None at the end."""
    line = await reader.readline()
    if not line:
        return None
    headers = {}
    while True:
        header = await reader.readline()
        if header in (b"\r\n", b"\n", b""):
            break
        name, _, value = header.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    size = int(headers.get("content-length", 0))
    body = await reader.readexactly(size) if size else b""
    return line.decode("latin-1").split(" ", 2), headers, body


async def serve(port, handle):
    """handle(method, path, query, headers, body) returns (status, body), or
    None for no answer."""
    async def connection(reader, writer):
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                (method, target, _), headers, body = message
                parts = urlsplit(target)
                answer = await handle(method, parts.path,
                                      dict(parse_qsl(parts.query)), headers,
                                      json.loads(body) if body else {})
                if answer is None:
                    break
                status, content = answer
                data = json.dumps(content).encode()
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json"
                             b"\r\nContent-Length: %d\r\n\r\n" %
                             (status, len(data)) + data)
                await writer.drain()
        except (OSError, ValueError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()
    return await asyncio.start_server(connection, "127.0.0.1", port,
                                      backlog=4096, limit=1 << 20)


class Store:
    """Rows, transactions under conditions, and a feed."""

    def __init__(self):
        self.version, self.rows, self.history = 1, {}, []
        self.forgotten = 0
        self.changed = asyncio.Condition()
        self.delay_s = 0.002
        # Called with (path, body) before a call is carried out; returns a
        # status to refuse it with, or None.
        self.refuse = lambda path, body: None

    @staticmethod
    def clock():
        return {"now_ms": int(time.monotonic() * 1000)}

    async def apply(self, changes):
        self.version += 1
        now = time.monotonic()
        for name, value in changes:
            if value is None:
                self.rows.pop(name, None)
            else:
                self.rows[name] = (self.version, value)
            self.history.append((self.version, now, name, value))
        while self.history and self.history[0][1] < now - HISTORY_S:
            self.forgotten = self.history.pop(0)[0]
        async with self.changed:
            self.changed.notify_all()

    async def put(self, table, key, value, part=""):
        await self.apply([((table, part, key), json.dumps(value).encode())])

    async def remove(self, table, key, part=""):
        await self.apply([((table, part, key), None)])

    @staticmethod
    def encode(name, version, value):
        row = {"table": name[0], "part": name[1], "key": name[2],
               "ver": version}
        if value is None:
            row["removed"] = True
        else:
            row["value"] = base64.b64encode(value).decode()
        return row

    async def handle(self, method, path, query, headers, body):
        await asyncio.sleep(self.delay_s)
        status = self.refuse(path, body)
        if status:
            return status, {}
        if path == "/v1/rows-tx":
            return await self.transact(body)
        if path == "/v1/rows-get":
            return self.get(query)
        if path == "/v1/rows-parts":
            parts = sorted({name[1] for name in self.rows
                            if name[0] == query["table"] and
                            name[1] > query.get("after", "")})
            return 200, {"parts": parts[:1000], "has_more": len(parts) > 1000,
                         **self.clock()}
        if path == "/v1/rows-feed":
            return await self.feed(query)
        return 404, self.clock()

    async def transact(self, body):
        name_of = lambda entry: (entry["table"], entry.get("part", ""),
                                 entry["key"])
        checks = body.get("expected_rev", [])
        if any(self.rows.get(name_of(c), (0,))[0] != c["ver"] for c in checks):
            return 412, {"ver": self.version, **self.clock(), "rows": [
                self.encode(name_of(c), *self.rows[name_of(c)])
                for c in checks if name_of(c) in self.rows]}
        changes = [(name_of(w), base64.b64decode(w["value"]))
                   for w in body.get("writes", [])]
        changes += [(name_of(r), None) for r in body.get("remove", [])]
        await self.apply(changes)
        return 200, {"ver": self.version, **self.clock()}

    def get(self, query):
        limit = min(int(query.get("limit", 500)), 500)
        names = sorted(name for name in self.rows
                       if name[:2] == (query["table"], query.get("part", ""))
                       and name[2] >= query.get("from", "") and
                       ("target" not in query or name[2] < query["target"]))
        return 200, {"rows": [self.encode(name, *self.rows[name])
                              for name in names[:limit]],
                     "has_more": len(names) > limit, "ver": self.version,
                     **self.clock()}

    async def feed(self, query):
        after = int(query["after"])
        deadline = time.monotonic() + min(int(query.get("wait_ms", 0)),
                                          30000) / 1000
        while True:
            if after < self.forgotten:
                return 410, self.clock()
            begin = bisect.bisect_right(self.history, after,
                                        key=lambda change: change[0])
            rows = [self.encode(name, version, value)
                    for version, _, name, value in self.history[begin:]
                    if name[0] == query["table"]]
            left = deadline - time.monotonic()
            if rows or left <= 0:
                return 200, {"rows": rows, "ver": self.version,
                             **self.clock()}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass


class Run:
    def __init__(self, task, number, ends_at, how, spec):
        self.task, self.number, self.spec = task, number, spec
        self.ends_at, self.how = ends_at, how
        self.began_at = time.monotonic()
        self.stops_at = None


class Worker:
    """One worker, and its lives under one id. plan(worker, task, run, spec)
    returns how long a run takes and how it ends."""

    def __init__(self, name, service, record, plan, cpu=16000, mem_mb=32768,
                 rack="r1-1"):
        self.name, self.service, self.record = name, service, record
        self.plan, self.rack, self.kind = plan, rack, "a"
        self.reachable = True     # reaches the store
        self.capacity = {"cpu": cpu, "mem_mb": mem_mb, "gpu": 0}
        self.port = None          # where it listens
        self.listed_port = None   # where others reach it
        self.server = None
        self.up = False

    async def start(self):
        self.born = int(time.time() * 1000)
        self.booted = time.monotonic()
        self.token, self.lease_ms, self.seq = 0, 0, 0
        self.running, self.highest = {}, {}
        self.due = []  # (time, task, run) of the ends to come
        self.ends, self.next_end = [], 1
        self.ended = asyncio.Condition()
        self.up = True
        self.server = await serve(self.port, self.handle)
        self.record("worker", self.name, "up", self.kind)

    def crash(self):
        """Everything that runs ends, and the address refuses channels."""
        self.up = False
        self.server.close()
        for run in self.running.values():
            self.record("run", self.name, run.task, run.number, "lost")
        self.record("worker", self.name, "crashed")
        self.running = {}

    def clock(self):
        return int((time.monotonic() - self.booted) * 1000)

    def entry(self):
        self.seq += 1
        return {"service": self.service,
                "address": "127.0.0.1:%d" % self.listed_port, "zone": "za",
                "version": "v1", "slots": 8, "state": "ready",
                "cold_remaining_ms": 0, "capacity": self.capacity,
                "labels": [self.kind, self.rack], "clock_ms": self.clock(),
                "born": self.born, "seq": self.seq}

    def end(self, run, how):
        del self.running[run.task]
        self.highest[run.task] = max(self.highest.get(run.task, 0), run.number)
        self.ends.append([self.next_end, run.task, run.number, how, ""])
        self.next_end += 1
        self.record("run", self.name, run.task, run.number, how)

    def tick(self):
        """Returns whether a run has ended."""
        if not self.up:
            return False
        now, before = time.monotonic(), self.next_end
        if self.clock() >= self.lease_ms:
            for run in list(self.running.values()):
                self.end(run, "lapsed")
        while self.due and self.due[0][0] <= now:
            _, task, number = heapq.heappop(self.due)
            run = self.running.get(task)
            if run is None or run.number != number:
                continue
            if run.stops_at is None:
                self.end(run, run.how)
            elif now >= run.stops_at:
                self.end(run, "stopped")
        return self.next_end != before

    def extend(self, body):
        self.lease_ms = max(self.lease_ms, min(body.get("deadline_ms", 0),
                                               self.clock() + MAX_HOLD_MS))

    def lists(self):
        now = time.monotonic()
        rows = []
        for run in self.running.values():
            share = (now - run.began_at) / max(run.ends_at - run.began_at, .01)
            # A task that lasts is at work after a short startup.
            lasts = run.ends_at == float("inf")
            rows.append([run.task, run.number, "",
                         100 if lasts else min(int(share * 100), 99), 0])
        return {"clock_ms": self.clock(), "born": self.born, "running": rows,
                "finished": self.ends[:ENDS_PER_ANSWER]}

    def refusal(self, reason):
        return 409, {"clock_ms": self.clock(), "reason": reason}

    async def handle(self, method, path, query, headers, body):
        life = self.born
        if not self.up:
            return None
        if path == "/health":
            return 200, {}
        if headers.get("expected-instance", self.name) != self.name:
            return 421, {"clock_ms": self.clock()}
        token = body.get("fencing_token", 0)
        if token < self.token:
            return self.refusal("fence")
        self.token = token
        if path == "/v1/run-start":
            return self.run_start(body)
        if path == "/v1/run-stop":
            return self.run_stop(body)
        if path != "/v1/hold":
            return 200, {"clock_ms": self.clock()}
        self.extend(body)
        cursor = body.get("ack_cursor", 0)
        for end in self.ends:
            if end[0] <= cursor:
                self.record("noted", self.name, end[1], end[2], end[3])
        self.ends = [end for end in self.ends if end[0] > cursor]
        deadline = time.monotonic() + min(body.get("wait_ms", 0), 2000) / 1000
        seen = self.next_end
        while (self.up and self.born == life and self.next_end == seen and
               time.monotonic() < deadline):
            async with self.ended:
                try:
                    await asyncio.wait_for(self.ended.wait(),
                                           deadline - time.monotonic())
                except asyncio.TimeoutError:
                    pass
        if not self.up or self.born != life:
            return None
        return 200, self.lists()

    def run_start(self, body):
        task, number = body["task"], body["run"]
        if body["deadline_ms"] <= self.clock():
            return self.refusal("late")
        self.extend(body)
        current = self.running.get(task)
        if current and current.number == number:
            return 200, {"clock_ms": self.clock()}
        if current or number <= self.highest.get(task, 0):
            return self.refusal("old")
        takes_s, how = self.plan(self, task, number, body["spec"])
        run = Run(task, number, time.monotonic() + takes_s, how, body["spec"])
        self.running[task] = run
        heapq.heappush(self.due, (run.ends_at, task, number))
        self.record("run", self.name, task, number, "start")
        return 200, {"clock_ms": self.clock()}

    def run_stop(self, body):
        task, number = body["task"], body["run"]
        run = self.running.get(task)
        self.highest[task] = max(self.highest.get(task, 0), number)
        if run and run.number <= number and run.stops_at is None:
            run.stops_at = time.monotonic() + STOP_S
            heapq.heappush(self.due, (run.stops_at, task, run.number))
        return 200, {"clock_ms": self.clock()}


class Proxy:
    """Forwards channels to a port. While it is cut, nothing passes, in either
    direction, and new channels get no answer. Channels that were open during
    the cut are reset when it ends; the bytes that it held up are lost."""

    def __init__(self, port, target):
        self.port, self.target = port, target
        self.is_cut, self.writers = False, set()

    async def start(self):
        await asyncio.start_server(self.connection, "127.0.0.1", self.port,
                                   backlog=4096)

    def cut(self):
        self.is_cut = True

    def heal(self):
        self.is_cut = False
        for writer in list(self.writers):
            writer.transport.abort()
        self.writers.clear()

    async def pump(self, reader, writer):
        while True:
            data = await reader.read(65536)
            if not data:
                return
            if not self.is_cut:
                writer.write(data)
                await writer.drain()

    async def connection(self, reader, writer):
        self.writers.add(writer)
        other = None
        try:
            if self.is_cut:
                await reader.read(-1)
                return
            try:
                back, other = await asyncio.open_connection("127.0.0.1",
                                                            self.target)
            except OSError:
                writer.transport.abort()
                return
            self.writers.add(other)
            done, rest = await asyncio.wait(
                [asyncio.ensure_future(self.pump(reader, other)),
                 asyncio.ensure_future(self.pump(back, writer))],
                return_when=asyncio.FIRST_COMPLETED)
            for task in rest:
                task.cancel()
        except OSError:
            pass
        finally:
            for each in (writer, other):
                if each is not None:
                    self.writers.discard(each)
                    each.close()


class Deployment:
    """Daemons, a store and workers."""

    def __init__(self, folder):
        self.folder = folder
        self.directory = tempfile.mkdtemp(prefix="cuminroad-review-")
        self.began = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.events = []
        self.store, self.workers, self.daemons = Store(), [], {}
        self.ports, self.reservation = free_ports(60)
        self.next_port = 0
        self.version = 0
        self.routes = []

    def port(self):
        self.next_port += 1
        return self.ports[self.next_port - 1]

    def record(self, *what):
        event = (time.monotonic() - self.began, *what)
        self.events.append(event)
        self.file.write("%.3f %s\n" % (event[0], " ".join(map(str, what))))

    async def add_worker(self, worker, proxied=True):
        worker.port = worker.listed_port = self.port()
        proxy = None
        if proxied:
            worker.listed_port = self.port()
            proxy = Proxy(worker.listed_port, worker.port)
            await proxy.start()
        self.workers.append(worker)
        await worker.start()
        return proxy

    async def ticks(self):
        while True:
            for worker in self.workers:
                if worker.tick():
                    async with worker.ended:
                        worker.ended.notify_all()
            await asyncio.sleep(0.005)

    async def entries(self, worker, offset_s):
        """A worker writes its entry; that of a silent one is removed after
        three intervals."""
        await self.store.put("servers", worker.name, worker.entry())
        await asyncio.sleep(offset_s)
        last = time.monotonic()
        while True:
            if worker.up and worker.reachable:
                await self.store.put("servers", worker.name, worker.entry())
                last = time.monotonic()
            elif time.monotonic() - last > 3 * HEARTBEAT_S:
                last = float("inf")
                await self.store.remove("servers", worker.name)
            await asyncio.sleep(HEARTBEAT_S)

    async def write_config(self):
        self.version += 3
        await self.store.put("op", "config", {
            "version": self.version, "routes": self.routes,
            "services": [{"name": name, "health_path": "/health",
                          "max_conns": 64, "protocol": "h1", "tls": False,
                          "admission_check": False, "standby": False}
                         for name in sorted({r["service"]
                                             for r in self.routes})],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144}})

    async def start(self, daemons=2):
        self.store_port = self.port()
        await serve(self.store_port, self.store.handle)
        await self.write_config()
        self.tasks = [asyncio.ensure_future(self.ticks()),
                      *[asyncio.ensure_future(self.entries(
                          worker, HEARTBEAT_S * (number + 1) /
                          len(self.workers)))
                        for number, worker in enumerate(self.workers)]]
        for number in range(1, daemons + 1):
            name = "front-za-%d" % number
            ports = [self.port() for _ in range(4)]
            settings = {
                "node": name, "role": "entry", "class": "front",
                "serves": ["front"], "ip": "127.0.0.1", "zone": "za",
                "region": "ra", "zones": {"za": "ra"},
                "listen": {"front": "127.0.0.1:%d" % ports[0],
                           "ready": "127.0.0.1:%d" % ports[1]},
                "port_range": [ports[2], ports[3]], "seeds": [],
                "bootstrap": True, "counts_as_loss": False,
                "limits": {"cpu_share": 0.25, "cores": 1, "memory_mb": 260,
                           "max_fds": 4100},
                "data_dir": None, "discovery": "platform",
                "heartbeat_ms": 1500,
                "bounds": {"contact_ms": 3000, "ack_ms": 4000,
                           "drain_ms": 2000, "grace_s": 6,
                           "config_apply_ms": 2000, "max_hold_ms": MAX_HOLD_MS,
                           "stop_ms": 200, "gang_timeout_ms": 3000,
                           "cancel_ms": 3000, "visible_ms": 3000,
                           "finish_s": 14, "status_s": 120,
                           "remote_factor": 2, "checkpoint_s": 1,
                           "lease_ms": 3000},
                "control_mode": "rpc", "advice": "127.0.0.1:1",
                "platform": {"address": "127.0.0.1:%d" % self.store_port,
                             "form": "table", "writes_per_s": 600,
                             "reads_per_s": 2000, "row_bytes": 65536,
                             "history_s": HISTORY_S}}
            path = os.path.join(self.directory, name + ".json")
            with open(path, "w") as file:
                json.dump(settings, file)
            self.daemons[name] = {"front": ports[0], "ready": ports[1],
                                  "settings": path}
            self.start_daemon(name)
        deadline = time.monotonic() + 20
        for daemon in self.daemons.values():
            while (await self.call(daemon["ready"], "GET", "/v1/ready"))[0] \
                    != 200:
                if time.monotonic() > deadline:
                    raise TimeoutError("the daemons are not ready")
                await asyncio.sleep(0.1)

    def start_daemon(self, name):
        daemon = self.daemons[name]
        with open(os.path.join(self.directory, name + ".log"), "a") as log:
            daemon["process"] = subprocess.Popen(
                PROGRAM, cwd=REPOSITORY, stdout=log, stderr=log,
                env={"PATH": os.environ.get("PATH", ""),
                     "CUMINROAD_CONFIG": daemon["settings"]})

    async def call(self, port, method, path, body=None, host="h.example",
                   timeout=3.0):
        """Returns (status, body); the status is 0 if there is no answer."""
        async def exchange():
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            try:
                data = json.dumps(body).encode() if body is not None else b""
                writer.write(("%s %s HTTP/1.1\r\nHost: %s\r\nContent-Type: "
                              "application/json\r\nDeadline-Ms: %d\r\n"
                              "Content-Length: %d\r\n\r\n" %
                              (method, path, host, timeout * 1000,
                               len(data))).encode() + data)
                (_, status, *_), _, content = await read_message(reader)
                return int(status), json.loads(content) if content else {}
            finally:
                writer.close()
        try:
            return await asyncio.wait_for(exchange(), timeout)
        except (OSError, asyncio.TimeoutError, ValueError, TypeError,
                asyncio.IncompleteReadError):
            return 0, {}

    async def client(self, method, path, body=None, timeout=3.0, tries=5,
                     first=0):
        """A call by a client, sent again at the next daemon where the page
        says so. Returns the last answer."""
        fronts = [daemon["front"] for daemon in self.daemons.values()]
        for attempt in range(tries):
            status, content = await self.call(
                fronts[(first + attempt) % len(fronts)], method, path, body,
                timeout=timeout)
            self.record("client", method, path, status, content)
            if status not in (0, 429, 502, 503, 504):
                break
            await asyncio.sleep(0.3)
        return status, content

    def close(self):
        for daemon in self.daemons.values():
            process = daemon.get("process")
            if process and process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()
        if os.environ.get("KEEP"):
            print("logs in", self.directory)
        else:
            shutil.rmtree(self.directory, ignore_errors=True)
        self.reservation.close()
        self.file.close()


def main(folder, scenario, trouble, limit_s=110):
    """Runs the scenario; it returns what breaks the rule. Exits with 1 if the
    rule was broken, 0 if it held, 2 if the case couldn't run."""
    if not os.path.exists(os.path.join(REPOSITORY, PROGRAM[0])):
        print("not built:", PROGRAM[0])
        return 2

    async def run():
        deployment = Deployment(folder)
        # A script that is ended from outside ends its processes too.
        running = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_event_loop().add_signal_handler(number, running.cancel)
        try:
            broken = await asyncio.wait_for(scenario(deployment, trouble),
                                            limit_s)
            for line in broken:
                deployment.record("BROKEN", line)
            return broken
        finally:
            deployment.close()
    try:
        broken = asyncio.run(run())
    except (Exception, asyncio.CancelledError) as error:
        print("could not run:", repr(error))
        return 2
    for line in broken[:10]:
        print("broken:", line)
    print("%d breaches" % len(broken))
    return 1 if broken else 0
