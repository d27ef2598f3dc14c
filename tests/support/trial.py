"""Runs one trial: a cluster under load with injected faults.

After the load has stopped, the history is checked. A fault is a function that
takes the Trial. It may sleep, and it undoes its effect itself or leaves that
to clear_faults() at the end of the trial.
"""

import json
import os
import signal
import time

import checker
import cluster
import relay
import workload

# Leases are short so that they can expire within a trial of a few seconds.
TIMINGS_MS = dict(task_lease=6000, task_renewal=1500, grant_lease=4000,
                  grant_renewal=500, max_request_time=3000, vm_list_poll=500,
                  config_poll=500, shutdown_linger=300)
CONTRACT_LIMITS = dict(milli_cores=24000, memory_mb=24000, requests=12)
# From the acceptance of a contract change until every daemon applies it.
MAX_IN_FORCE_DELAY_NS = 16 * 10**9
JOBS_END_TIMEOUT_S = 60


class Trial:
    """A cluster, its load, and the methods that faults use."""

    def __init__(self, seed, domains=2, daemons=2, vms=3):
        self.network = relay.Network()
        self.cluster = cluster.Cluster(
            os.environ["CUMINROAD_BUILD"], domains=domains, daemons=daemons,
            vms=vms, slots=4, milli_cores=8000, memory_mb=16000,
            timings=TIMINGS_MS, network=self.network)
        self.load = workload.Workload(self.cluster, seed)
        # VMs that a fault isolates from their owner for longer than a lease.
        self.isolated_vms = set()
        # Set by faults that drop calls in flight, by killing or suspending a
        # daemon. Under all other faults no call may be dropped.
        self.breaks_calls = False

    def run(self, *faults, load_after_faults_s=4):
        """Injects the faults one after the other under load, then checks.

        Raises AssertionError with up to 20 violations.
        """
        with self.cluster:
            for customer in self.load.customers:
                self.cluster.create_contract(customer, **CONTRACT_LIMITS)
            self.load.start()
            time.sleep(1)
            for fault in faults:
                fault(self)
            time.sleep(load_after_faults_s)
            self.clear_faults()
            self.load.stop()
            self.wait_for_jobs()
            self.violations = self.check()
            if self.violations:
                raise AssertionError("\n".join(self.violations[:20]))

    def clear_faults(self):
        self.control_platform(down=False, slow_ms=0, lose_replies=0)
        self.network.heal()
        for process in (list(self.cluster.daemons.values()) +
                        list(self.cluster.backends.values())):
            process.signal(signal.SIGCONT)
        for daemon in self.cluster.daemons.values():
            if not daemon.alive():
                daemon.start()
        for vm in self.cluster.vms:
            self.cluster.control_vm(vm, unreachable=False, slow_ms=0,
                                    hang_requests=False, refuse_starts=False,
                                    fail_tasks=False)

    def control_platform(self, **faults):
        self.cluster.post_to_platform("/control", faults)

    def owner(self, domain="d1"):
        return cluster.wait_until(lambda: self.cluster.owner(domain), 20,
                                  "owner of " + domain)

    def standby(self, domain="d1"):
        owner = self.owner(domain)
        return next(d for d in self.cluster.daemons_in_domain(domain)
                    if d is not owner)

    def unfinished_jobs(self):
        unfinished = []
        for job in self.load.jobs:
            daemon = next(iter(self.cluster.daemons.values()))
            status, _, text = daemon.call("GET", "/v1/jobs/" + job["id"])
            if status != 200 or json.loads(text)["state"] != "finished":
                unfinished.append((job["id"], status, text))
        return unfinished

    def wait_for_jobs(self):
        try:
            cluster.wait_until(lambda: not self.unfinished_jobs(),
                               JOBS_END_TIMEOUT_S, "all jobs end")
        except AssertionError:
            unfinished = self.unfinished_jobs()
            raise AssertionError("%d jobs did not end: %s" %
                                 (len(unfinished), unfinished[:3])) from None

    def check(self):
        history = self.cluster.history()
        load = self.load
        # A task that failed because of its VM counts as run to its end, too.
        return (checker.check_vm_capacity(history, self.cluster.vms,
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
                    history, {c: CONTRACT_LIMITS for c in load.customers}) +
                checker.check_tasks_at_most_once(history, load.jobs) +
                checker.check_jobs_completed(history, load.jobs) +
                checker.check_no_rerun_after_end(history, self.isolated_vms) +
                checker.check_contract_versions(
                    load.version_observations, load.accepted_changes,
                    MAX_IN_FORCE_DELAY_NS))

    def summary(self):
        outcomes = {}
        for call in self.load.calls:
            outcomes[call["outcome"]] = outcomes.get(call["outcome"], 0) + 1
        return "%s; %d jobs; %d contract changes accepted, %d conflicts" % (
            outcomes, len(self.load.jobs), len(self.load.accepted_changes),
            self.load.version_conflicts)
