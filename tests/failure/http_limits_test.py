"""Clients that try to drive a daemon out of memory or descriptors.

Each test guards against one kind of client that can end a daemon, or stop it
from accepting jobs. A client may be refused or disconnected; the tests check
only the daemon's memory and descriptors, and that a job submitted afterwards
runs. The load and the bounds are fixed; they are not adapted to the product.
"""

import json
import os
import resource
import select
import shutil
import socket
import threading
import time
import unittest

import cluster
import fleet_trial

MEMORY_MB = 48
MAX_FDS = 400
MAX_HEADER_BYTES = 16384
MAX_BODY_BYTES = 262144
CONTRACT_LIMITS = {"max_header_bytes": MAX_HEADER_BYTES,
                   "max_body_bytes": MAX_BODY_BYTES,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
REFUSALS = (413, 429, 431, 503)
# For how long the load is sent at most, and then held.
SEND_S = 20
HOLD_S = 1
JOB = "%016x" % 1
JOB_BODY = {"spec": json.dumps({"fails": 0}),
            "steps": [{"count": 1, "cpu": 500, "mem_mb": 200,
                       "estimate_ms": 50}]}


class SmallTrial(fleet_trial.Trial):
    zones = ("za",)


class Client:
    """A connection that sends its pieces, and reads as it is told."""

    def __init__(self, port, pieces, read_bytes=65536):
        self.port, self.pieces = port, iter(pieces)
        self.read_bytes = read_bytes
        self.unsent, self.response = b"", b""
        self.sent_all, self.closed = False, False
        self.socket = socket.socket()
        if read_bytes < 65536:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        self.socket.setblocking(False)
        self.socket.connect_ex(("127.0.0.1", port))

    def close(self):
        self.closed = True
        self.socket.close()

    def step(self):
        """Sends one piece and reads without blocking.

        Returns whether this made progress.
        """
        if self.closed:
            return False
        progress = False
        try:
            if not self.sent_all and not self.unsent:
                self.unsent = next(self.pieces, b"")
                self.sent_all = not self.unsent
            if self.unsent:
                sent = self.socket.send(self.unsent)
                self.unsent = self.unsent[sent:]
                progress = sent > 0
        except BlockingIOError:
            pass
        except OSError:
            self.close()
            return False
        if self.read_bytes:
            self.read()
        return progress

    def read(self):
        try:
            data = self.socket.recv(self.read_bytes)
            self.response = (self.response + data)[:4096]
            if not data:
                self.close()
        except BlockingIOError:
            pass
        except OSError:
            self.close()


def head(method, path, *fields):
    return "\r\n".join(["%s %s HTTP/1.1" % (method, path), "Host: h",
                        "Deadline-Ms: 3000", *fields, "", ""]).encode()


def split(data, size):
    return (data[start:start + size] for start in range(0, len(data), size))


class Sampler(threading.Thread):
    """Records the most descriptors that a process has open."""

    def __init__(self, pid):
        super().__init__(daemon=True)
        self.pid, self.most, self.stopped = pid, 0, False

    def run(self):
        while not self.stopped:
            try:
                self.most = max(self.most,
                                len(os.listdir("/proc/%d/fd" % self.pid)))
            except OSError:
                return
            time.sleep(0.01)


def peak_memory_mb(pid):
    with open("/proc/%d/status" % pid) as file:
        return next(int(line.split()[1]) for line in file
                    if line.startswith("VmHWM:")) / 1024


class HttpLimits:
    """The tests; subclasses name the port and path of the load."""

    def setUp(self):
        soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        if soft < 4096:
            resource.setrlimit(resource.RLIMIT_NOFILE, (min(4096, hard), hard))
        self.clients = []
        self.trial = SmallTrial(
            1, daemons=1, vms=1, contract_limits=CONTRACT_LIMITS,
            limits={"memory_mb": MEMORY_MB, "max_fds": MAX_FDS})
        self.trial.start_all()
        self.daemon = self.trial.daemons[0]
        self.trial.simulation.jobs[JOB] = JOB_BODY
        # A job that was run before the load shows that the VM is held.
        self.run_job("%016x" % 2)
        self.sampler = Sampler(self.daemon.process.pid)
        self.sampler.start()

    def tearDown(self):
        self.sampler.stopped = True
        for client in self.clients:
            client.close()
        self.trial.close()
        shutil.rmtree(self.trial.directory)

    def run_job(self, job):
        self.trial.simulation.jobs[job] = JOB_BODY
        headers = {"Host": "h", "Deadline-Ms": "3000",
                   "Content-Type": "application/json"}
        call = lambda method, body=None: cluster.call(
            self.daemon.frontend_port, method, "/u/" + job, body, headers, 4)
        cluster.wait_until(lambda: call("POST", JOB_BODY)[0] == 200, 30,
                           "an ordinary job is accepted")
        cluster.wait_until(
            lambda: b"completed" in call("GET")[2], 30, "its job has run")

    def open_clients(self, count, make_pieces, read_bytes=65536):
        """Opens the connections; make_pieces(number) makes their pieces."""
        for number in range(count):
            self.clients.append(Client(self.port(), make_pieces(number),
                                       read_bytes))
            # The listening socket's backlog is short.
            if number % 50 == 49:
                self.step_all()

    def step_all(self):
        return any([client.step() for client in self.clients])

    def send_all(self):
        """Sends until everything is sent or no connection takes more."""
        end = time.monotonic() + SEND_S
        idle_since = time.monotonic()
        while time.monotonic() < end:
            now = time.monotonic()
            if self.step_all():
                idle_since = now
            elif now - idle_since > HOLD_S:
                return
            else:
                select.select([], [], [], 0.01)

    def check(self):
        """Checks the daemon while the connections of the load stay open."""
        self.assertTrue(self.daemon.alive(), "the daemon has ended")
        self.run_job(JOB)
        cluster.wait_until(self.trial.daemons_ready, 30, "daemon is ready")
        self.assertTrue(self.daemon.alive(), "the daemon has ended")
        memory_mb = peak_memory_mb(self.daemon.process.pid)
        print("peak %.1f MB, %d descriptors; " % (memory_mb,
                                                  self.sampler.most), end="",
              flush=True)
        self.assertLess(memory_mb, MEMORY_MB)
        self.assertLess(self.sampler.most, MAX_FDS)

    def test_bodies_in_one_piece(self):
        # All but the last byte of a legal body, as fast as it is taken.
        request = head("POST", self.path(JOB),
                       "Content-Length: %d" % MAX_BODY_BYTES)
        request += b" " * (MAX_BODY_BYTES - 1)
        self.open_clients(300, lambda _: [request])
        self.send_all()
        self.check()

    def test_bodies_in_small_pieces(self):
        request = head("POST", self.path(JOB),
                       "Content-Length: %d" % MAX_BODY_BYTES)
        request += b" " * (MAX_BODY_BYTES - 1)
        self.open_clients(300, lambda _: split(request, 1500))
        self.send_all()
        self.check()

    def test_bodies_in_chunks(self):
        # A chunk of one byte costs the parser a record of many bytes.
        request = head("POST", self.path(JOB), "Transfer-Encoding: chunked")
        request += b"1\r\n \r\n" * (MAX_BODY_BYTES - 1)
        self.open_clients(60, lambda _: split(request, 65536))
        self.send_all()
        self.check()

    def test_bodies_far_over_the_limit(self):
        # Half of them announce their size, and half are chunked.
        block = b" " * 65536
        chunk = b"10000\r\n" + block + b"\r\n"
        announced = [head("POST", self.path(JOB),
                          "Content-Length: %d" % (64 << 20)), *[block] * 1024]
        chunked = [head("POST", self.path(JOB), "Transfer-Encoding: chunked"),
                   *[chunk] * 1024]
        self.open_clients(8, lambda n: chunked if n % 2 else announced)
        self.send_all()
        self.check()

    def test_heads_of_short_fields(self):
        # Heads of legal size without their end.
        request = head("GET", self.path(JOB))[:-2]
        request += b"a:b\r\n" * ((MAX_HEADER_BYTES - len(request) - 2) // 5)
        self.open_clients(300, lambda _: [request])
        self.send_all()
        self.check()

    def test_trailers_of_short_fields(self):
        # The fields after a chunked body are kept as well.
        request = head("POST", self.path(JOB), "Transfer-Encoding: chunked")
        request += b"1\r\n \r\n0\r\n" + b"a:b\r\n" * 50000
        self.open_clients(60, lambda _: split(request, 65536))
        self.send_all()
        self.check()

    def test_pipelined_requests_without_reading(self):
        request = head("GET", self.path(JOB)) * 500
        self.open_clients(20, lambda _: [request] * 40, read_bytes=0)
        self.send_all()
        self.check()

    def test_pipelined_bodies_without_reading(self):
        # The last request of each connection is not complete.
        request = head("POST", self.path("0"),
                       "Content-Length: %d" % MAX_BODY_BYTES)
        request += b" " * MAX_BODY_BYTES
        self.open_clients(100, lambda _: [request * 3 + request[:-1]],
                          read_bytes=0)
        self.send_all()
        self.check()

    def test_responses_read_slowly(self):
        request = head("GET", self.path(JOB)) * 100
        self.open_clients(300, lambda _: [request] * 2, read_bytes=1)
        self.send_all()
        self.check()

    def test_requests_that_stop_half_way(self):
        # More connections than the process may have descriptors.
        silent = []
        half = [head("GET", self.path(JOB))[:-3]]
        self.open_clients(600, lambda n: half if n % 2 else silent)
        self.send_all()
        self.check()

    def test_requests_sent_slowly(self):
        request = head("POST", self.path(JOB), "Content-Length: 1000")
        self.open_clients(600, lambda _: split(request + b" " * 900, 1))
        end = time.monotonic() + 4
        while time.monotonic() < end:
            self.step_all()
            time.sleep(0.05)
        self.check()

    def test_submissions_of_many_steps(self):
        # The parsed form of a body takes many times its bytes. A request that
        # is refused must not run.
        steps = b'{"spec":"","steps":[' + b"{}," * 80000 + b"{}]}"
        jobs = ["%016x" % (number + 100) for number in range(30)]
        for job in jobs:
            self.trial.simulation.jobs[job] = JOB_BODY
        self.open_clients(30, lambda n: [
            head("POST", self.path(jobs[n]),
                 "Content-Length: %d" % len(steps)) + steps])
        self.send_all()
        self.check()
        refused = {job for job, client in zip(jobs, self.clients)
                   if client.response[9:12] in
                   [b"%d" % status for status in REFUSALS]}
        with self.trial.simulation.lock:
            started = {event["task"].split(".")[0]
                       for event in self.trial.simulation.history
                       if event["what"] == "start"}
        self.assertFalse(refused & started)


class QueueTest(HttpLimits, unittest.TestCase):
    def port(self):
        return self.daemon.frontend_port

    def path(self, job):
        return "/u/" + job


class UnroutedTest(QueueTest):
    def path(self, job):
        return "/nowhere/" + job


class ReadyTest(HttpLimits, unittest.TestCase):
    def port(self):
        return self.daemon.ready_port

    def path(self, job):
        return "/v1/ready"


if __name__ == "__main__":
    unittest.main()
