"""One trial of the daemons on stand-ins for the operator platform."""

import json
import os
import random
import shutil
import signal
import subprocess
import tempfile
import threading
import time

import cluster
import fleet_checker
import fleet_load
import operator_servers
import operator_store
import operator_vms
import relay

SETTLE_S = 60
CAPACITY = {"cpu": 8000, "mem_mb": 8000, "gpu": 0}
VM_PERIOD_S = 1


class Daemon:
    def __init__(self, name, zone, ports):
        self.name, self.zone = name, zone
        self.front, self.ready, self.peer, self.metrics = ports
        self.process = None
        self.lock = threading.Lock()

    def alive(self):
        return self.process is not None and self.process.poll() is None


class Trial:
    """Two zones with daemons and VMs, all of whose links can be cut."""

    zones = ("za", "zb")

    def __init__(self, seed, daemons=2, vms=3):
        self.rng = random.Random(seed)
        self.directory = tempfile.mkdtemp(prefix="cuminroad-fleet-")
        self.ports = cluster.PortBlock()
        self.network = relay.Network()
        self.store = operator_store.Store()
        self.world = operator_vms.World("svc", seed)
        common = {"host": "h", "service": "svc", "attempts": 3, "stretch": 2.0,
                  "target_latency_ms": 500, "timeout_ms": 3000}
        self.queues = {
            "urgent": {**common, "priority": 0, "path_prefix": "/u/"},
            "advised": {**common, "priority": 1, "path_prefix": "/a/",
                        "advice": {"decision_ms": 20, "each_ms": 0.1,
                                   "valid_for_ms": 1500}}}
        self.version = 0
        self.vms, self.daemons = [], []
        for zone in self.zones:
            for number in range(vms):
                self.add_vm("vm-%s-%d" % (zone, number), zone)
            for number in range(daemons):
                self.daemons.append(Daemon(
                    "%s-%d" % (zone, number), zone,
                    [self.ports.allocate() for _ in range(4)]))
        self.connect()
        self.load = fleet_load.Load(self, random.Random(seed + 1))
        self.dark_until = {}

    def add_vm(self, name, zone):
        vm = operator_vms.Vm(self.world, name, zone, CAPACITY, zone)
        vm.port = self.ports.allocate()
        self.world.vms[name] = vm
        self.vms.append(vm)
        operator_servers.serve_vm(vm)

    def connect(self):
        advisor = self.ports.allocate()
        operator_servers.serve_advisor(advisor, self.world)
        for daemon in self.daemons:
            store = self.ports.allocate()
            operator_servers.serve_store(store, self.store, daemon.name)
            link = lambda name, port: self.network.add_link(
                daemon.name, name, port)
            view = {vm.port: link(vm.name, vm.port) for vm in self.vms}
            view.update((other.peer, link(other.name, other.peer))
                        for other in self.daemons if other is not daemon)
            self.store.views[daemon.name] = view
            self.write_settings(daemon, link("store", store),
                                link("advisor", advisor))

    def write_settings(self, daemon, store, advisor):
        address = "127.0.0.1:%d"
        settings = {
            "node": daemon.name, "zone": daemon.zone, "ip": "127.0.0.1",
            "listen": {"front": address % daemon.front,
                       "ready": address % daemon.ready},
            "port_range": [daemon.peer, daemon.metrics],
            "limits": {"cpu_share": 0.25}, "advice": address % advisor,
            "bounds": {"max_hold_ms": operator_vms.MAX_LEASE_MS,
                       "remote_factor": 1.5, "status_s": 120, "grace_s": 6},
            "platform": {"address": address % store}}
        with open(self.path(daemon, "json"), "w") as out:
            json.dump(settings, out)

    def path(self, daemon, kind):
        return os.path.join(self.directory, "%s.%s" % (daemon.name, kind))

    def rng_daemon(self):
        alive = [each for each in self.daemons if each.alive()]
        return random.choice(alive or self.daemons)

    def start(self, daemon):
        with daemon.lock:
            if daemon.alive():
                return
            program = os.path.join(os.environ["CUMINROAD_BUILD"], "programs",
                                   "cuminroadd")
            with open(self.path(daemon, "log"), "a") as log:
                daemon.process = subprocess.Popen(
                    [program, "--platform"], stdout=log, stderr=log,
                    env={**os.environ,
                         "CUMINROAD_CONFIG": self.path(daemon, "json")})

    def kill(self, daemon, number=signal.SIGKILL):
        with daemon.lock:
            if daemon.alive():
                daemon.process.send_signal(number)
                if number != signal.SIGKILL:
                    try:
                        daemon.process.wait(6)
                    except subprocess.TimeoutExpired:
                        daemon.process.kill()
                daemon.process.wait()

    def signal(self, daemon, number):
        with daemon.lock:
            if daemon.alive():
                daemon.process.send_signal(number)

    def write_config(self):
        self.version += self.rng.randint(1, 5)
        routes = [{"name": name, **queue}
                  for name, queue in self.queues.items()]
        self.store.put("op", "config", json.dumps(
            {"version": self.version, "routes": routes,
             "services": [{"name": "svc"}], "limits": {}}).encode())

    def list_vms(self):
        """VMs keep their entries up to date."""
        while not self.world.closed:
            for vm in self.vms:
                self.store.put("servers", vm.name,
                               json.dumps(vm.entry()).encode())
            time.sleep(VM_PERIOD_S)

    def ready(self):
        return all(cluster.call(daemon.ready, "GET", "/v1/ready")[0] == 200
                   for daemon in self.daemons)

    def run(self, faults, seconds=10, per_second=6):
        """faults: (at, function, seconds), which may overlap."""
        try:
            self.write_config()
            threading.Thread(target=self.world.run, daemon=True).start()
            threading.Thread(target=self.list_vms, daemon=True).start()
            for daemon in self.daemons:
                self.start(daemon)
            cluster.wait_until(self.ready, 20, "daemons are ready")
            threads = [threading.Timer(at, fault, (self, length))
                       for at, fault, length in faults]
            for each in threads:
                each.start()
            self.load.run(seconds, per_second)
            for each in threads:
                each.join()
            self.heal()
            problems = self.settle()
        finally:
            self.close()
        if problems:
            raise AssertionError("%d problems, logs in %s:\n%s" % (
                len(problems), self.directory, "\n".join(problems[:10])))
        shutil.rmtree(self.directory)

    def heal(self):
        self.store.busy, self.store.slow_s, self.store.lose_share = False, 0, 0
        self.network.heal()
        for vm in self.vms:
            vm.unhealthy, vm.hangs, vm.late_share = False, False, 0
        for daemon in self.daemons:
            self.signal(daemon, signal.SIGCONT)
            self.start(daemon)

    def settle(self):
        end = time.monotonic() + SETTLE_S
        for thread in self.load.threads:
            thread.join(max(end - time.monotonic(), 0))
        self.load.stopped = True
        with self.world.lock:
            history, jobs = list(self.world.history), dict(self.world.jobs)
        return (fleet_checker.check_exclusive_runs(history) +
                fleet_checker.check_vm_capacity(history, self.vms) +
                fleet_checker.check_step_order(history, jobs) +
                fleet_checker.check_vm_labels(history, jobs, self.vms) +
                fleet_checker.check_reported_outcomes(
                    history, self.load.calls, jobs))

    def close(self):
        self.world.closed = True
        for daemon in self.daemons:
            self.signal(daemon, signal.SIGCONT)
            self.kill(daemon)
        self.ports.close()

    def summary(self):
        states = {}
        for call in self.load.calls:
            state = "refused" if call["refused"] else call["state"]
            states[state] = states.get(state, 0) + 1
        return "%s; %d runs" % (states, sum(
            event["what"] == "start" for event in self.world.history))
