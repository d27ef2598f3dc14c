"""HTTP servers for the stand-ins of the operator platform."""

import json
import random
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qsl, urlsplit

ADVICE_DELAY_S = 0.02
# The daemons' table of submitted jobs.
REQUEST_TABLE = "requests"
TICKET_LIFETIME_S = 1.5


def start_server(port, handle):
    """Serves HTTP on a loopback port, on threads in the background.

    handle(method, path, query, headers, body) returns (status, body), or None
    to close the connection without a response.
    """

    class Handler(BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"
        disable_nagle_algorithm = True
        wbufsize = -1

        def handle_request(self):
            parts = urlsplit(self.path)
            size = int(self.headers.get("Content-Length", 0))
            text = self.rfile.read(size)
            result = handle(self.command, parts.path,
                            dict(parse_qsl(parts.query)), self.headers,
                            json.loads(text) if text else {})
            if result is None:
                self.close_connection = True
                return
            status, body = result
            data = json.dumps(body).encode()
            self.send_response(status)
            self.send_header("Content-Type", "application/json")
            self.send_header("Content-Length", str(len(data)))
            self.end_headers()
            self.wfile.write(data)

        do_GET = do_POST = handle_request

        def log_message(self, *_):
            pass

    class Server(ThreadingHTTPServer):
        daemon_threads = True
        request_queue_size = 64

        def handle_error(self, request, client_address):
            # Writes fail when a daemon is killed or a link is cut.
            pass

    server = Server(("127.0.0.1", port), Handler)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return server


def serve_store(port, store, daemon_name):
    """Serves the store to one daemon."""
    def handle(_, path, query, headers, body):
        del headers
        refusal_status = store.refusal_status(daemon_name)
        if refusal_status:
            return refusal_status, {}
        if store.response_delay_s:
            time.sleep(store.response_delay_s)
        perform = lambda: store.handle(daemon_name, path, query, body)
        write_fault = next(iter(store.write_faults), None)
        if write_fault and any(row["table"] == REQUEST_TABLE
                               for row in body.get("writes", [])):
            return write_fault(daemon_name, perform)
        result = perform()
        if (path == "/v1/rows-tx" and
                random.random() < store.lost_response_share):
            return None
        return result
    return start_server(port, handle)


def serve_vm(vm):
    """Serves a VM on its port.

    A hold is a long poll: it returns when a run has ended or after wait_ms.
    A VM that restarts while it handles a command does not respond.
    """
    simulation = vm.simulation

    def handle(_, path, query, headers, body):
        del query
        if time.monotonic() < vm.down_until:
            return None
        if vm.unhealthy:
            return 503, {}
        if headers.get("Expected-Instance") != vm.name:
            return 421, {}
        if path != "/v1/hold" and simulation.rng.random() < vm.late_share:
            # Executed after newer commands, and without a response.
            threading.Timer(simulation.rng.uniform(0.5, 4), vm.execute_late,
                            (path, body)).start()
            time.sleep(5)
            return None
        if vm.withhold(path, body):
            time.sleep(5)
            return None
        wait_s = body.get("wait_ms", 0) / 1000
        with simulation.lock:
            incarnation, first_end_number = vm.incarnation, vm.next_end_number
            result = vm.handle(path, body)
            deadline = time.monotonic() + wait_s
            while (result[0] == 200 and vm.incarnation == incarnation and
                   vm.next_end_number == first_end_number and
                   time.monotonic() < deadline):
                simulation.run_ended.wait(deadline - time.monotonic())
            if path == "/v1/hold" and result[0] == 200:
                result = 200, vm.status()
            if vm.incarnation != incarnation:
                return None
            vm.hold_answered |= path == "/v1/hold" and result[0] == 200
            return result
    return start_server(vm.port, handle)


def serve_advisor(port, simulation):
    """Serves an advisor that allows each step on a fixed subset of the VMs.

    The subset has at least one VM of each zone.
    """
    step_locks = {}

    def is_allowed(step, vm):
        return (random.Random(step + vm).random() < 0.5 or
                int(vm.rsplit("-", 1)[1]) == random.Random(step).randrange(3))

    def handle(_, path, query, headers, body):
        del path, query, headers
        with step_locks.setdefault(body["step"], threading.Lock()):
            time.sleep(ADVICE_DELAY_S)
        with simulation.lock:
            allowed_vms = [
                [name, "%s/%d/%.3f" % (body["step"],
                                       simulation.vms[name].incarnation,
                                       time.monotonic() + TICKET_LIFETIME_S)]
                for name in body["workers"]
                if name in simulation.vms and is_allowed(body["step"], name)]
        return 200, {"good": allowed_vms}
    return start_server(port, handle)
