"""Stand-ins for the VMs of the operator platform, with a history of runs."""

import json
import random
import threading
import time

START_PATH = "/v1/run-start"
STOP_PATH = "/v1/run-stop"
# A gang member that waits longer for the others ends as "alone".
GANG_START_TIMEOUT_S = 3
MAX_LEASE_MS = 6000
STOP_DELAY_S = 0.1
# A task that crashes its VM does so this long after its start; the VM is back
# after DOWN_TIME_S.
CRASH_DELAY_S = 0.01
DOWN_TIME_S = 2
# A lower capacity binds this long after the change: the time until the entry is
# published, and three seconds in which daemons must act on it.
CAPACITY_GRACE_S = 4
TICK_INTERVAL_S = 0.01


class Run:
    """One run of a task on a VM."""

    def __init__(self, name, number, duration_s, fails, size, crashes=False):
        self.name, self.number, self.size = name, number, size
        self.duration_s, self.fails = duration_s, fails
        self.crashes = crashes
        self.accepted_at = time.monotonic()
        self.started_at = None
        self.stops_at = None


class Vm:
    """A simulated VM, which runs tasks until its lease expires."""

    def __init__(self, simulation, name, zone, capacity, label):
        self.simulation, self.name, self.zone = simulation, name, zone
        self.label = label
        self.capacities = []
        self.set_capacity(capacity)
        self.down_until = 0
        self.port = None
        self.unhealthy = False
        self.hangs = False
        self.late_share = 0
        # Commands to these paths get no response, and wait in withheld as
        # (path, body) until execute_withheld.
        self.withheld_paths = ()
        self.withheld = []
        # Of withheld starts: (status, body).
        self.withheld_responses = []
        self.restart()

    def restart(self):
        """Starts a new incarnation, without any state of the one before."""
        with self.simulation.lock:
            for run in list(getattr(self, "running", {}).values()):
                self.simulation.record(self, run, "crashed")
            self.incarnation = int(time.time() * 1000)
            self.booted_at = time.monotonic()
            self.highest_token = 0
            self.hold_answered = False
            # A hold has followed the answer to an earlier one.
            self.held_again = False
            self.lease_end_ms = 0
            self.running = {}
            self.highest_ended_run = {}
            self.unacknowledged_ends = []
            self.next_end_number = 1

    def set_capacity(self, capacity):
        self.capacity = capacity
        self.capacities.append((time.monotonic(), capacity))

    def capacity_limit(self, field, at):
        """Returns the largest capacity that a daemon may still have known."""
        ends_at = [changed_at for changed_at, _ in self.capacities[1:]]
        return max(capacity[field] for (begins_at, capacity), end_at in
                   zip(self.capacities, ends_at + [float("inf")])
                   if begins_at <= at <= end_at + CAPACITY_GRACE_S)

    def clock_ms(self):
        return int((time.monotonic() - self.booted_at) * 1000)

    def entry(self):
        return {"service": self.simulation.service,
                "address": "127.0.0.1:%d" % self.port, "zone": self.zone,
                "version": "1", "state": "ready", "born": self.incarnation,
                "clock_ms": self.clock_ms(), "capacity": self.capacity,
                "labels": [self.label]}

    def end_run(self, run, outcome):
        """Records the end of a run. Called with the lock held."""
        del self.running[run.name]
        self.highest_ended_run[run.name] = max(
            self.highest_ended_run.get(run.name, 0), run.number)
        self.unacknowledged_ends.append(
            [self.next_end_number, run.name, run.number, outcome, ""])
        self.next_end_number += 1
        self.simulation.record(self, run, outcome)

    def refuse(self, reason):
        return 409, {"clock_ms": self.clock_ms(), "reason": reason}

    def extend_lease(self, body):
        lease_end_ms = min(body.get("deadline_ms", 0),
                           self.clock_ms() + MAX_LEASE_MS)
        self.lease_end_ms = max(self.lease_end_ms, lease_end_ms)

    def handle(self, path, body):
        """Executes a command; returns (status, body).

        Called with the lock held.
        """
        if body.get("fencing_token", 0) < self.highest_token:
            return self.refuse("fence")
        self.highest_token = body.get("fencing_token", 0)
        return {START_PATH: self.start, STOP_PATH: self.stop,
                "/v1/hold": self.hold}.get(path, self.ignore)(body)

    def execute_late(self, path, body):
        """Executes a command whose caller no longer waits for the response.

        The VM may have restarted since. While it is down, the command is lost.
        """
        with self.simulation.lock:
            if time.monotonic() < self.down_until:
                return None
            return self.handle(path, body)

    def withhold(self, path, body):
        """Returns whether the command gets no response now."""
        with self.simulation.lock:
            if path not in self.withheld_paths:
                return False
            self.withheld.append((path, body))
            return True

    def execute_withheld(self):
        """Ends the withholding, and executes the commands withheld, starts
        first."""
        with self.simulation.lock:
            self.withheld_paths = ()
            commands, self.withheld = self.withheld, []
            for path, body in sorted(commands, key=lambda command: command[0]):
                response = self.execute_late(path, body)
                if path == START_PATH and response:
                    self.withheld_responses.append(response)

    def ignore(self, _):
        return 200, {"clock_ms": self.clock_ms()}

    def start(self, body):
        name, number = body["task"], body["run"]
        if body["deadline_ms"] <= self.clock_ms():
            return self.refuse("late")
        self.extend_lease(body)
        current_run = self.running.get(name)
        if current_run and current_run.number == number:
            return 200, {"clock_ms": self.clock_ms()}
        if current_run or number <= self.highest_ended_run.get(name, 0):
            return self.refuse("old")
        if not self.simulation.is_ticket_valid(self, name, body.get("ticket")):
            return self.refuse("ticket")
        run = self.simulation.make_run(name, number, body["spec"])
        self.running[name] = run
        self.simulation.record(self, run, "start")
        return 200, {"clock_ms": self.clock_ms()}

    def stop(self, body):
        name, number = body["task"], body["run"]
        run = self.running.get(name)
        self.highest_ended_run[name] = max(
            self.highest_ended_run.get(name, 0), number)
        if run and run.number <= number and run.stops_at is None:
            run.stops_at = time.monotonic() + STOP_DELAY_S
        return 200, {"clock_ms": self.clock_ms()}

    def hold(self, body):
        self.held_again = self.hold_answered
        self.extend_lease(body)
        acknowledged_number = body["ack_cursor"]
        for end in self.unacknowledged_ends:
            if end[0] <= acknowledged_number:
                self.simulation.record_acknowledgement(end)
        self.unacknowledged_ends = [end for end in self.unacknowledged_ends
                                    if end[0] > acknowledged_number]
        return 200, self.status()

    def status(self):
        """Returns the running tasks and the ends not yet acknowledged."""
        now = time.monotonic()
        rows = []
        for run in self.running.values():
            progress = (0 if run.started_at is None else
                        (now - run.started_at) / run.duration_s)
            rows.append([run.name, run.number, "",
                         min(int(progress * 100), 99), 0])
        return {"clock_ms": self.clock_ms(), "born": self.incarnation,
                "running": rows, "finished": self.unacknowledged_ends[:500]}

    def tick(self, now):
        """Ends runs when the lease has expired or a stop is due, and all when
        one of them crashes the VM."""
        if any(run.crashes and now - run.accepted_at >= CRASH_DELAY_S
               for run in self.running.values()):
            self.down_until = now + DOWN_TIME_S
            self.restart()
        for run in list(self.running.values()):
            if self.clock_ms() >= self.lease_end_ms:
                self.end_run(run, "lapsed")
            elif run.stops_at is not None and now >= run.stops_at:
                self.end_run(run, "stopped")


class VmSimulation:
    """All VMs, the definitions of the jobs, and the history for the checks."""

    def __init__(self, service, seed):
        self.service = service
        self.lock = threading.RLock()
        self.run_ended = threading.Condition(self.lock)
        self.vms = {}
        self.history = []
        self.done = set()
        self.jobs = {}
        self.rng = random.Random(seed)
        self.closed = False

    def run(self):
        while not self.closed:
            with self.lock:
                ends_before = sum(vm.next_end_number
                                  for vm in self.vms.values())
                self.tick(time.monotonic())
                if sum(vm.next_end_number
                       for vm in self.vms.values()) != ends_before:
                    self.run_ended.notify_all()
            time.sleep(TICK_INTERVAL_S)

    def record(self, vm, run, event):
        self.history.append({"at": time.monotonic(), "vm": vm.name,
                             "task": run.name, "run": run.number,
                             "what": event, "size": run.size})

    def record_acknowledgement(self, end):
        if end[3] == "done":
            self.done.add(end[1])
            self.history.append({"at": time.monotonic(), "task": end[1],
                                 "run": end[2], "what": "acknowledged"})

    def step_of_task(self, task):
        job, _, step, _ = task.split(".")
        return self.jobs[job]["steps"][int(step)]

    def make_run(self, name, number, spec):
        step = self.step_of_task(name)
        # Seeded by task and run, so that a replay of a trial's seed draws the
        # same values whatever the order of the threads.
        run_rng = random.Random("%s %d" % (name, number))
        duration_s = step["estimate_ms"] / 1000 * run_rng.uniform(0.5, 1.5)
        fails = run_rng.random() < json.loads(spec)["fails"]
        size = (step["cpu"], step["mem_mb"])
        crashes = json.loads(spec).get("crashes", False) and (
            name.endswith(".0.0.0"))
        return Run(name, number, duration_s, fails, size, crashes)

    def is_ticket_valid(self, vm, task, ticket):
        if ticket is None:
            return True
        step, incarnation, expires_at = ticket.rsplit("/", 2)
        return (task.rsplit(".", 1)[0] == step and
                int(incarnation) == vm.incarnation and
                time.monotonic() < float(expires_at))

    def tick(self, now):
        """Starts and ends runs according to their durations."""
        for vm in self.vms.values():
            vm.tick(now)
        gangs = {}
        for vm in self.vms.values():
            for run in list(vm.running.values()):
                if vm.hangs or run.stops_at is not None:
                    continue
                step = self.step_of_task(run.name)
                if step.get("gang"):
                    key = (run.name.rsplit(".", 1)[0], run.number)
                    gangs.setdefault(key, []).append((vm, run))
                    continue
                if run.started_at is None:
                    run.started_at = now
                if now - run.started_at >= run.duration_s:
                    vm.end_run(run, "failed" if run.fails else "done")
        for members in gangs.values():
            self.tick_gang(members, now)

    def tick_gang(self, members, now):
        """Starts a gang once all members are present; ends them together.

        When a member of a started gang is gone, the others end as "broken".
        """
        expected_count = self.step_of_task(members[0][1].name)["count"]
        is_complete = len(members) == expected_count
        start_times = [run.started_at for _, run in members
                       if run.started_at is not None]
        for vm, run in members:
            if is_complete and not start_times:
                run.started_at = now
            elif not is_complete and start_times:
                vm.end_run(run, "broken")
            elif (not is_complete and
                  now - run.accepted_at > GANG_START_TIMEOUT_S):
                vm.end_run(run, "alone")
            elif (is_complete and
                  now - max(start_times) >= members[0][1].duration_s):
                vm.end_run(run, "failed" if members[0][1].fails else "done")
