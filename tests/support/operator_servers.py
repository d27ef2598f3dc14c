"""HTTP servers of the stand-ins for the operator platform."""

import json
import random
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qsl, urlsplit

ADVICE_S = 0.02
TICKET_S = 1.5


def serve(port, answer):
    """answer(method, path, query, headers, body) returns (status, body), or
    None to close the connection without an answer."""

    class Handler(BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"
        disable_nagle_algorithm = True
        wbufsize = -1

        def handle_one(self):
            parts = urlsplit(self.path)
            size = int(self.headers.get("Content-Length", 0))
            text = self.rfile.read(size)
            result = answer(self.command, parts.path,
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

        do_GET = do_POST = handle_one

        def log_message(self, *_):
            pass

    class Server(ThreadingHTTPServer):
        daemon_threads = True
        request_queue_size = 64

        def handle_error(self, request, client_address):
            # Daemons are killed and links are cut while answers are written.
            pass

    server = Server(("127.0.0.1", port), Handler)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return server


def serve_store(port, store, reader):
    def answer(_, path, query, headers, body):
        del headers
        if store.busy:
            return 503, {}
        if store.slow_s:
            time.sleep(store.slow_s)
        result = store.answer(reader, path, query, body)
        if path == "/v1/rows-tx" and random.random() < store.lose_share:
            return None
        return result
    return serve(port, answer)


def serve_vm(vm):
    world = vm.world

    def carry_out(path, body):
        with world.lock:
            return vm.order(path, body)

    def answer(_, path, query, headers, body):
        del query
        if vm.unhealthy:
            return 503, {}
        if headers.get("Expected-Instance") != vm.name:
            return 421, {}
        if path != "/v1/hold" and world.random.random() < vm.late_share:
            # Carried out after newer orders, and never answered.
            threading.Timer(world.random.uniform(0.5, 4), carry_out,
                            (path, body)).start()
            time.sleep(5)
            return None
        wait = body.get("wait_ms", 0) / 1000
        with world.lock:
            born, first = vm.born, vm.next_end
            result = vm.order(path, body)
            end = time.monotonic() + wait
            while (result[0] == 200 and vm.born == born and
                   vm.next_end == first and time.monotonic() < end):
                world.ends.wait(end - time.monotonic())
            if path == "/v1/hold" and result[0] == 200:
                result = 200, vm.lists()
            return result if vm.born == born else None
    return serve(vm.port, answer)


def serve_advisor(port, world):
    """Allows each step on many VMs, always the same, one of a zone at least."""
    turns = {}

    def allowed(step, vm):
        return (random.Random(step + vm).random() < 0.5 or
                int(vm.rsplit("-", 1)[1]) == random.Random(step).randrange(3))

    def answer(_, path, query, headers, body):
        del path, query, headers
        with turns.setdefault(body["step"], threading.Lock()):
            time.sleep(ADVICE_S)
        with world.lock:
            good = [[name, "%s/%d/%.3f" % (body["step"], world.vms[name].born,
                                           time.monotonic() + TICKET_S)]
                    for name in body["workers"]
                    if name in world.vms and allowed(body["step"], name)]
        return 200, {"good": good}
    return serve(port, answer)
