"""Starts a platform, backend servers and daemons as separate processes.

Everything listens on loopback. The processes write their logs to a temporary
directory, which is removed when the test passes.
"""

import http.client
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time

OPERATOR_TOKEN = "operator-secret"
START_TIMEOUT_S = 20


# Below the ephemeral port range, so that outgoing connections don't take the
# ports that a test has yet to bind.
PORT_BLOCK_STARTS = range(10000, 32000, 100)


class PortBlock:
    """A block of ports reserved for one cluster.

    A socket bound to the first port of the block reserves it, as clusters of
    other processes try the same port.
    """

    def __init__(self):
        self._reservation = socket.socket()
        blocks = list(PORT_BLOCK_STARTS)
        random.SystemRandom().shuffle(blocks)
        for self._last_port in blocks:
            try:
                self._reservation.bind(("127.0.0.1", self._last_port))
                return
            except OSError:
                continue
        raise AssertionError("no free block of ports")

    def allocate(self):
        while True:
            self._last_port += 1
            with socket.socket() as probe:
                try:
                    probe.bind(("127.0.0.1", self._last_port))
                    return self._last_port
                except OSError:
                    continue

    def allocate_adjacent(self):
        """Returns two ports, the second of which follows the first."""
        first = self.allocate()
        while True:
            second = self.allocate()
            if second == first + 1:
                return first, second
            first = second

    def close(self):
        self._reservation.close()


def call(port, method, path, body=None, headers=None, timeout=40):
    """Returns (status, headers, body) of one HTTP call."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout)
    try:
        if isinstance(body, (dict, list)):
            body = json.dumps(body)
        connection.request(method, path, body=body, headers=headers or {})
        response = connection.getresponse()
        return response.status, dict(response.getheaders()), response.read()
    finally:
        connection.close()


def wait_until(condition, timeout, description):
    """Waits until the condition is true, and returns its value.

    An OSError in the condition counts as false. Raises AssertionError after
    timeout seconds.
    """
    end = time.monotonic() + timeout
    while True:
        try:
            value = condition()
        except OSError:
            value = None
        if value:
            return value
        if time.monotonic() > end:
            raise AssertionError("timed out: " + description)
        time.sleep(0.02)


class Process:
    """A child process with a log file."""

    def __init__(self, name, command, directory):
        self.name = name
        self.command = command
        self.log_path = os.path.join(directory, name + ".log")
        self.popen = None

    def start(self):
        with open(self.log_path, "a") as log:
            self.popen = subprocess.Popen(self.command, stdout=log, stderr=log)

    def signal(self, signal_number):
        if self.alive():
            self.popen.send_signal(signal_number)

    def alive(self):
        return self.popen is not None and self.popen.poll() is None

    def kill(self):
        self.signal(signal.SIGKILL)
        if self.popen is not None:
            self.popen.wait()

    def wait(self, timeout):
        return self.popen.wait(timeout)


class Daemon(Process):
    """A cuminroadd process."""

    def __init__(self, name, domain, ports, command, directory):
        super().__init__(name, command, directory)
        self.domain = domain
        self.http_port, self.peer_port = ports

    def call(self, method, path, body=None, headers=None, timeout=40):
        return call(self.http_port, method, path, body, headers, timeout)

    def ready(self):
        return self.call("GET", "/readyz", timeout=2)[0] == 200

    def operator_call(self, method, path, body=None):
        status, _, text = self.call(
            method, path, body, {"Authorization": "Bearer " + OPERATOR_TOKEN})
        return status, json.loads(text)

    def state(self):
        return self.operator_call("GET", "/v1/state")[1]


class Cluster:
    """A platform, with daemons and backend servers in each failure domain.

    vm_shapes lists the capacities of each domain's VMs; without it, all VMs
    have the capacity given by the other arguments. With a relay.Network, each
    daemon reaches all other processes through relays.
    """

    def __init__(self, build, domains=2, daemons=2, vms=2, slots=8,
                 milli_cores=16000, memory_mb=32000, accelerators=0,
                 timings=None, network=None, vm_shapes=None):
        self.build = os.path.abspath(build)
        self.directory = tempfile.mkdtemp(prefix="cuminroad-")
        self.domains = ["d%d" % (n + 1) for n in range(domains)]
        self.timings = timings or {}
        self.ports = PortBlock()
        self.platform_port = self.ports.allocate()
        self.platform = Process(
            "platform", [self._binary("standins/standin_platform"),
                         str(self.platform_port)], self.directory)
        self.backends = {}
        self.backend_ports = {}
        self.vms = {}
        self.daemons = {}
        self.network = network
        shape = dict(milli_cores=milli_cores, memory_mb=memory_mb,
                     accelerators=accelerators, slots=slots)
        for domain in self.domains:
            shapes = vm_shapes or [shape] * vms
            self._add_backend(domain, shapes)
        daemon_specs = {
            "%s-%s" % (domain, "abcdefgh"[number]):
            (domain, (self.ports.allocate(), self.ports.allocate()))
            for domain in self.domains for number in range(daemons)}
        for name, (domain, daemon_ports) in daemon_specs.items():
            self._add_daemon(name, domain, daemon_ports, daemon_specs)

    def _binary(self, path):
        return os.path.join(self.build, path)

    def history_path(self, domain):
        return os.path.join(self.directory, "history-%s.jsonl" % domain)

    def _add_backend(self, domain, shapes):
        port = self.ports.allocate()
        specs = []
        for number, shape in enumerate(shapes):
            name = "%s-vm%d" % (domain, number + 1)
            specs.append(dict(shape, id=name))
            self.vms[name] = dict(
                shape, id=name, domain=domain, rack="%s-r%d" %
                (domain, number // 5), service=shape.get("service", "fitting"),
                url="http://127.0.0.1:%d/vm/%s" % (port, name),
                connections=64, state="live")
        path = os.path.join(self.directory, "vms-%s.json" % domain)
        with open(path, "w") as file:
            json.dump(specs, file)
        self.backend_ports[domain] = port
        self.backends[domain] = Process(
            "backend-" + domain,
            [self._binary("standins/standin_backend"), str(port), path,
             self.history_path(domain)], self.directory)

    def _map_addresses(self, name, daemon_specs):
        """Returns the address map of a daemon and the port through which it
        reaches the platform."""
        if self.network is None:
            return {}, self.platform_port
        targets = [("backend-" + domain, port)
                   for domain, port in self.backend_ports.items()]
        targets += [(other, port) for other, (_, ports) in daemon_specs.items()
                    if other != name for port in ports]
        addresses = {}
        for target, port in targets:
            relay_port = self.network.add_link(name, target, port)
            addresses["127.0.0.1:%d" % port] = "127.0.0.1:%d" % relay_port
        return addresses, self.network.add_link(name, "platform",
                                                self.platform_port)

    def _add_daemon(self, name, domain, ports, daemon_specs):
        addresses, platform_port = self._map_addresses(name, daemon_specs)
        settings = {
            "name": name, "failure_domain": domain,
            "all_failure_domains": self.domains,
            "http": {"address": "127.0.0.1", "port": ports[0]},
            "peer": {"address": "127.0.0.1", "port": ports[1]},
            "platform_url": "http://127.0.0.1:%d" % platform_port,
            "operator_token": OPERATOR_TOKEN, "timings_ms": self.timings,
            "address_map": addresses}
        path = os.path.join(self.directory, name + ".json")
        with open(path, "w") as file:
            file.write("// Settings of one daemon.\n" +
                       json.dumps(settings, indent=2))
        self.daemons[name] = Daemon(
            name, domain, ports,
            [self._binary("programs/cuminroadd"), path], self.directory)

    def __enter__(self):
        try:
            self.start()
        except BaseException:
            self.stop(keep=True)
            raise
        return self

    def __exit__(self, kind, value, traceback):
        self.stop(keep=kind is not None)

    def start(self):
        self.platform.start()
        for backend in self.backends.values():
            backend.start()
        wait_until(lambda: call(self.platform_port, "GET", "/counts"),
                   START_TIMEOUT_S, "platform responds")
        for domain, port in self.backend_ports.items():
            wait_until(lambda: call(port, "GET", "/vm/%s-vm1/holder" % domain),
                       START_TIMEOUT_S, "backend server responds")
        for vm in self.vms.values():
            self.post_to_platform("/vms/register", vm)
        for daemon in self.daemons.values():
            daemon.start()
        for daemon in self.daemons.values():
            wait_until(daemon.ready, START_TIMEOUT_S,
                       daemon.name + " is ready")
        for domain in self.domains:
            self.wait_for_owner(domain)

    def stop(self, keep=False):
        processes = (list(self.daemons.values()) +
                     list(self.backends.values()) + [self.platform])
        for process in processes:
            process.signal(signal.SIGCONT)
            process.kill()
        self.ports.close()
        if keep:
            print("logs kept in", self.directory)
        else:
            shutil.rmtree(self.directory, ignore_errors=True)

    def daemons_in_domain(self, domain):
        return [d for d in self.daemons.values() if d.domain == domain]

    def owner(self, domain):
        for daemon in self.daemons_in_domain(domain):
            if not daemon.alive():
                continue
            try:
                if daemon.state()["is_owner"]:
                    return daemon
            except OSError:
                continue
        return None

    def wait_for_owner(self, domain, timeout=START_TIMEOUT_S):
        """Waits for an owner that has claimed every live VM of its domain."""
        def owner_holding_vms():
            owner = self.owner(domain)
            if owner is None:
                return None
            vms = owner.state().get("vms", [])
            usable = [v for v in vms if v["condition"] != "unclaimed"]
            return owner if vms and len(usable) == len(vms) else None
        return wait_until(owner_holding_vms, timeout, "owner of " + domain)

    def post_to_platform(self, path, body):
        return call(self.platform_port, "POST", path, body)

    def control_vm(self, vm, **faults):
        domain = self.vms[vm]["domain"]
        return call(self.backend_ports[domain], "POST",
                    "/vm/%s/control" % vm, faults)

    def create_contract(self, customer, daemon=None, **terms):
        """Creates a contract; returns when it is in force on all daemons."""
        all_terms = dict(milli_cores=1000000, memory_mb=1000000,
                         accelerators=1000, requests=1000,
                         task_start_within_ms=60000,
                         request_start_within_ms=2000)
        all_terms.update(terms)
        daemon = daemon or next(iter(self.daemons.values()))
        status, response = daemon.operator_call(
            "PUT", "/v1/contracts/" + customer,
            {"expected_version": 0, "operator": "test", "terms": all_terms})
        if status != 200:
            raise AssertionError("contract not accepted: %s" % response)
        return response

    def history(self):
        """Returns the events of all backend servers in order of time."""
        lines = []
        for domain in self.domains:
            try:
                with open(self.history_path(domain)) as file:
                    lines += [json.loads(line) for line in file]
            except FileNotFoundError:
                pass
        return sorted(lines, key=lambda line: line["t"])


def request(daemon, customer, service="fitting", body=None, idempotent=False,
            headers=None, timeout=40):
    """Sends a service request. Returns (outcome, status, body)."""
    all_headers = {"X-Idempotent": "true" if idempotent else "false"}
    all_headers.update(headers or {})
    status, response_headers, text = daemon.call(
        "POST", "/v1/customers/%s/services/%s/requests" % (customer, service),
        body, all_headers, timeout)
    return response_headers.get("X-Outcome", "error"), status, text
