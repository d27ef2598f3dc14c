"""Runs one trial of the daemons with stand-ins for the operator platform.

The daemons are real processes. The store, the advisor and the VMs are
simulated in this process, and every connection between them passes through a
relay that faults can cut or delay.
"""

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
import fleet_accounts
import fleet_checker
import fleet_load
import operator_servers
import operator_store
import operator_vms
import relay

JOBS_END_TIMEOUT_S = 60
VM_CAPACITY = {"cpu": 8000, "mem_mb": 8000, "gpu": 0}
VM_PUBLISH_INTERVAL_S = 1
# For how long a daemon that has lost contact may act on what it knew before.
CONTACT_S = 3
# The platform kills a daemon that takes more.
DAEMON_MEMORY_MB = 160


class Daemon:
    """A cuminroadd process and its ports."""

    def __init__(self, name, zone, ports):
        self.name, self.zone = name, zone
        (self.frontend_port, self.ready_port, self.peer_port,
         self.metrics_port) = ports
        self.process = None
        # Faults that overlap may start and stop the same daemon.
        self.lock = threading.Lock()

    def alive(self):
        return self.process is not None and self.process.poll() is None


class Trial:
    """Daemons and VMs in two zones, with the load on them."""

    zones = ("za", "zb")

    def __init__(self, seed, daemons=2, vms=3, crash_share=0, accounts=(),
                 limits=None, contract_limits=None):
        """limits: fields added to the settings' `limits`.
        contract_limits: `limits` of the operator's configuration.
        """
        self.limits = {"cpu_share": 0.25, **(limits or {})}
        self.contract_limits = contract_limits or {}
        self.rng = random.Random(seed)
        self.directory = tempfile.mkdtemp(prefix="cuminroad-fleet-")
        self.ports = cluster.PortBlock()
        self.network = relay.Network()
        self.store = operator_store.Store()
        self.simulation = operator_vms.VmSimulation("svc", seed)
        queue_settings = {"host": "h", "service": "svc", "attempts": 3,
                          "stretch": 2.0, "target_latency_ms": 500,
                          "timeout_ms": 3000}
        self.queues = {
            "urgent": {**queue_settings, "priority": 0, "path_prefix": "/u/"},
            "advised": {**queue_settings, "priority": 1, "path_prefix": "/a/",
                        "advice": {"decision_ms": 20, "each_ms": 0.1,
                                   "valid_for_ms": 1500}}}
        self.services = ["svc"]
        self.dropped_queues = set()
        # Until then a daemon may lack a queue that was dropped for a while.
        self.queues_missing_until = 0
        self.version = 0
        # Writes of submissions that were performed without a response.
        self.lost_writes = 0
        self.accounts = accounts and fleet_accounts.Accounts(
            self, accounts, random.Random(seed + 2))
        self.vms, self.daemons = [], []
        for zone in self.zones:
            for number in range(vms):
                self.add_vm("vm-%s-%d" % (zone, number), zone)
            for number in range(daemons):
                self.daemons.append(Daemon(
                    "%s-%d" % (zone, number), zone,
                    (self.ports.allocate(), self.ports.allocate(),
                     # A daemon takes the first two ports of its range.
                     *self.ports.allocate_adjacent())))
        self.connect_daemons()
        self.load = fleet_load.JobLoad(self, random.Random(seed + 1),
                                       crash_share)

    def add_vm(self, name, zone):
        vm = operator_vms.Vm(self.simulation, name, zone, VM_CAPACITY, zone)
        vm.port = self.ports.allocate()
        self.simulation.vms[name] = vm
        self.vms.append(vm)
        operator_servers.serve_vm(vm)

    def connect_daemons(self):
        """Opens a relay for each connection and writes the settings."""
        advisor_port = self.ports.allocate()
        operator_servers.serve_advisor(advisor_port, self.simulation)
        for daemon in self.daemons:
            store_port = self.ports.allocate()
            operator_servers.serve_store(store_port, self.store, daemon.name)
            link = lambda name, port: self.network.add_link(
                daemon.name, name, port)
            port_map = {vm.port: link(vm.name, vm.port) for vm in self.vms}
            port_map.update(
                (other.peer_port, link(other.name, other.peer_port))
                for other in self.daemons if other is not daemon)
            self.store.port_maps[daemon.name] = port_map
            self.write_settings(daemon, link("store", store_port),
                                link("advisor", advisor_port))

    def write_settings(self, daemon, store_port, advisor_port):
        loopback = "127.0.0.1:%d"
        settings = {
            "node": daemon.name, "zone": daemon.zone, "ip": "127.0.0.1",
            "listen": {"front": loopback % daemon.frontend_port,
                       "ready": loopback % daemon.ready_port},
            "port_range": [daemon.peer_port, daemon.metrics_port],
            "limits": self.limits, "advice": loopback % advisor_port,
            "heartbeat_ms": VM_PUBLISH_INTERVAL_S * 1000,
            "bounds": {"max_hold_ms": operator_vms.MAX_LEASE_MS,
                       "contact_ms": CONTACT_S * 1000,
                       "remote_factor": 1.5, "status_s": 120, "grace_s": 6},
            "platform": {"address": loopback % store_port}}
        if self.accounts:
            settings["bounds"].update(
                config_apply_ms=fleet_accounts.CONFIG_APPLY_MS,
                max_stretch_ms=fleet_accounts.MAX_STRETCH_MS)
        with open(self.path(daemon, "json"), "w") as file:
            json.dump(settings, file)

    def path(self, daemon, extension):
        return os.path.join(self.directory, "%s.%s" % (daemon.name, extension))

    def random_daemon(self):
        """Returns a daemon that is alive, or any if none is."""
        alive = [daemon for daemon in self.daemons if daemon.alive()]
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

    def terminate(self, daemon, signal_number=signal.SIGKILL):
        """Sends the signal and waits until the daemon has exited.

        A daemon that ignores the signal for 6 s is killed.
        """
        with daemon.lock:
            if daemon.alive():
                daemon.process.send_signal(signal_number)
                if signal_number != signal.SIGKILL:
                    try:
                        daemon.process.wait(6)
                    except subprocess.TimeoutExpired:
                        daemon.process.kill()
                daemon.process.wait()

    def signal(self, daemon, signal_number):
        with daemon.lock:
            if daemon.alive():
                daemon.process.send_signal(signal_number)

    def write_config(self):
        """Writes the operator's configuration under a new version."""
        self.version += self.rng.randint(1, 5)
        routes = [{"name": name, **queue}
                  for name, queue in self.queues.items()
                  if name not in self.dropped_queues]
        config = {"version": self.version, "routes": routes,
                  "services": [{"name": name} for name in self.services],
                  "limits": self.contract_limits}
        if self.accounts:
            config["tenants"] = self.accounts.tenants()
        self.store.put("op", "config", json.dumps(config).encode())

    def publish_vms(self):
        """Writes the VMs' entries to the store until the trial ends."""
        while not self.simulation.closed:
            for vm in self.vms:
                if not self.store.refusal_status():
                    self.store.put("servers", vm.name,
                                   json.dumps(vm.entry()).encode())
            time.sleep(VM_PUBLISH_INTERVAL_S)

    def daemons_ready(self):
        return all(
            cluster.call(daemon.ready_port, "GET", "/v1/ready")[0] == 200
            for daemon in self.daemons)

    def daemons_started(self):
        """Returns daemons_ready(); raises if a daemon has ended."""
        for daemon in self.daemons:
            if not daemon.alive():
                with open(self.path(daemon, "log")) as log:
                    raise AssertionError("%s ended, log in %s: %s" % (
                        daemon.name, self.directory, log.read()[-200:]))
        return self.daemons_ready()

    def start_all(self):
        """Starts the VMs and the daemons, and waits until these are ready."""
        self.write_config()
        threading.Thread(target=self.simulation.run, daemon=True).start()
        threading.Thread(target=self.publish_vms, daemon=True).start()
        for daemon in self.daemons:
            self.start(daemon)
        cluster.wait_until(self.daemons_started, 20, "daemons are ready")

    def run(self, faults, seconds=10, jobs_per_s=6):
        """Runs the load under the faults, then checks the history.

        faults: tuples of the start in seconds after the load began, the fault
        function, and its duration in seconds. Faults may overlap.
        """
        try:
            self.start_all()
            timers = [threading.Timer(start_s, function, (self, duration_s))
                      for start_s, function, duration_s in faults]
            for timer in timers:
                timer.start()
            self.load.run(seconds, jobs_per_s)
            for timer in timers:
                timer.join()
            self.clear_faults()
            violations = self.finish_and_check()
        finally:
            self.close()
        if violations:
            raise AssertionError("%d violations, logs in %s:\n%s" % (
                len(violations), self.directory, "\n".join(violations[:10])))
        shutil.rmtree(self.directory)

    def clear_faults(self):
        self.queues_missing_until = min(self.queues_missing_until,
                                        time.monotonic() + CONTACT_S)
        self.store.response_delay_s, self.store.lost_response_share = 0, 0
        self.store.refusals.clear()
        self.store.write_faults.clear()
        self.network.heal()
        for vm in self.vms:
            vm.unhealthy, vm.hangs, vm.late_share = False, False, 0
            vm.withheld_paths = ()
            vm.set_capacity(VM_CAPACITY)
        for daemon in self.daemons:
            self.signal(daemon, signal.SIGCONT)
            self.start(daemon)

    def finish_and_check(self):
        """Waits until all jobs have ended; returns the violations."""
        deadline = time.monotonic() + JOBS_END_TIMEOUT_S
        for thread in self.load.threads:
            thread.join(max(deadline - time.monotonic(), 0))
        self.load.stopped = True
        with self.simulation.lock:
            history, jobs = (list(self.simulation.history),
                             dict(self.simulation.jobs))
        return (fleet_checker.check_exclusive_runs(history) +
                fleet_checker.check_vm_capacity(history, self.vms) +
                fleet_checker.check_crashing_tasks(history, jobs) +
                fleet_checker.check_step_order(history, jobs) +
                fleet_checker.check_vm_labels(history, jobs, self.vms) +
                fleet_checker.check_tasks_per_vm(history, jobs) +
                fleet_checker.check_reported_outcomes(
                    history, self.load.calls, jobs) +
                (self.accounts.violations if self.accounts else []) +
                self.check_memory())

    def check_memory(self):
        """Returns the daemons that took more memory than the platform gives
        them, which would kill them, and those that ended by themselves."""
        violations = []
        for daemon in self.daemons:
            if not daemon.alive():
                violations.append("%s has ended" % daemon.name)
                continue
            with open("/proc/%d/status" % daemon.process.pid) as file:
                peak_kb = next(int(line.split()[1]) for line in file
                               if line.startswith("VmHWM:"))
            if peak_kb > DAEMON_MEMORY_MB * 1024:
                violations.append("%s took %d KB" % (daemon.name, peak_kb))
        return violations

    def close(self):
        self.simulation.closed = True
        for daemon in self.daemons:
            self.signal(daemon, signal.SIGCONT)
            self.terminate(daemon)
        self.ports.close()

    def summary(self):
        states = {}
        for call in self.load.calls:
            state = "refused" if call["refused"] else call["state"]
            states[state] = states.get(state, 0) + 1
        return "%s; %d runs, %d lost writes" % (states, sum(
            event["what"] == "start" for event in self.simulation.history),
                                                self.lost_writes)
