"""One trial: a cluster under load and faults, then the checks of the history.

A fault is a function of the trial. It may sleep, and it heals what it broke,
or leaves that to the end of the trial.
"""

import json
import os
import signal
import time

import checker
import cluster
import relay
import workload

# Short leases, so that a trial of seconds sees them lapse.
TIMINGS = dict(task_lease=6000, task_renewal=1500, grant_lease=4000,
               grant_renewal=500, max_request_time=3000, vm_list_poll=500,
               config_poll=500, shutdown_linger=300)
LIMITS = dict(milli_cores=24000, memory_mb=24000, requests=12)
IN_FORCE_NS = 16 * 10**9
SETTLE_S = 60


class Trial:
    """The cluster, its load, and what a fault needs to strike it."""

    def __init__(self, seed, domains=2, daemons=2, vms=3):
        self.network = relay.Network()
        self.running = cluster.Cluster(
            os.environ["CUMINROAD_BUILD"], domains=domains, daemons=daemons,
            vms=vms, slots=4, milli_cores=8000, memory_mb=16000,
            timings=TIMINGS, network=self.network)
        self.load = workload.Workload(self.running, seed)
        # VMs that a fault keeps from their owner beyond the lease.
        self.isolated_vms = set()
        # A fault that kills, freezes or cuts breaks calls; others may not.
        self.breaks_calls = False

    def run(self, *faults, seconds=4):
        """Plays the faults one after the other under load, and checks."""
        with self.running:
            for customer in self.load.customers:
                self.running.contract(customer, **LIMITS)
            self.load.start()
            time.sleep(1)
            for fault in faults:
                fault(self)
            time.sleep(seconds)
            self.heal()
            self.load.stop()
            self.wait_for_jobs()
            self.problems = self.check()
            if self.problems:
                raise AssertionError("\n".join(self.problems[:20]))

    def heal(self):
        self.platform(down=False, slow_ms=0, lose_replies=0)
        self.network.heal()
        for process in (list(self.running.daemons.values()) +
                        list(self.running.backends.values())):
            process.signal(signal.SIGCONT)
        for daemon in self.running.daemons.values():
            if not daemon.alive():
                daemon.start()
        for vm in self.running.vms:
            self.running.vm_control(vm, unreachable=False, slow_ms=0,
                                    hang_requests=False, refuse_starts=False,
                                    fail_tasks=False)

    def platform(self, **faults):
        self.running.platform_call("/control", faults)

    def owner(self, domain="d1"):
        return cluster.wait_until(lambda: self.running.owner(domain), 20,
                                  "owner of " + domain)

    def standby(self, domain="d1"):
        owner = self.owner(domain)
        return next(d for d in self.running.in_domain(domain)
                    if d is not owner)

    def unfinished(self):
        left = []
        for job in self.load.jobs:
            daemon = next(iter(self.running.daemons.values()))
            status, _, text = daemon.call("GET", "/v1/jobs/" + job["id"])
            if status != 200 or json.loads(text)["state"] != "finished":
                left.append((job["id"], status, text))
        return left

    def wait_for_jobs(self):
        try:
            cluster.wait_until(lambda: not self.unfinished(), SETTLE_S,
                               "jobs end")
        except AssertionError:
            left = self.unfinished()
            raise AssertionError("%d jobs did not end: %s" %
                                 (len(left), left[:3])) from None

    def check(self):
        history = self.running.history()
        load = self.load
        # A task that failed by a fault of its VM has run to its end too.
        return (checker.check_vm_capacity(history, self.running.vms,
                                          self.isolated_vms) +
                checker.check_no_concurrent_task_runs(history) +
                checker.check_response_bodies(load.calls) +
                ([] if self.breaks_calls else
                 checker.check_no_broken_calls(load.calls)) +
                checker.check_not_run_outcomes(history, load.calls) +
                checker.check_requests_at_most_once(history, load.calls) +
                checker.check_done_outcomes(history, load.calls) +
                checker.check_leaving_vms(history) +
                checker.check_customer_limits(
                    history, {c: LIMITS for c in load.customers}) +
                checker.check_tasks_at_most_once(history, load.jobs) +
                checker.check_jobs_completed(history, load.jobs) +
                checker.check_no_rerun_after_end(history, self.isolated_vms) +
                checker.check_contract_versions(
                    load.observations, load.accepted, IN_FORCE_NS))

    def summary(self):
        outcomes = {}
        for call in self.load.calls:
            outcomes[call["outcome"]] = outcomes.get(call["outcome"], 0) + 1
        return "%s; %d jobs; %d changes accepted, %d in conflict" % (
            outcomes, len(self.load.jobs), len(self.load.accepted),
            self.load.conflicts)
