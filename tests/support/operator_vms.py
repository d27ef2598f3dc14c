"""VMs of the operator platform, as stand-ins, and what ran on them."""

import json
import random
import threading
import time

GANG_TIMEOUT_S = 3
MAX_LEASE_MS = 6000
STOP_S = 0.1
TICK_S = 0.01


class Run:
    def __init__(self, name, number, seconds, fails, size):
        self.name, self.number, self.size = name, number, size
        self.seconds, self.fails = seconds, fails
        self.came = time.monotonic()
        self.began = None
        self.stops_at = None


class Vm:
    def __init__(self, world, name, zone, capacity, label):
        self.world, self.name, self.zone = world, name, zone
        self.capacity, self.label = capacity, label
        self.port = None
        self.unhealthy = False
        self.hangs = False
        self.late_share = 0
        self.restart()

    def restart(self):
        """A new life, which knows nothing of the one before."""
        with self.world.lock:
            for run in list(getattr(self, "running", {}).values()):
                self.world.note(self, run, "crashed")
            self.born = int(time.time() * 1000)
            self.began = time.monotonic()
            self.fence = 0
            self.lease = 0
            self.running = {}
            self.ended = {}
            self.finished = []
            self.next_end = 1
            self.acknowledged = 0

    def clock(self):
        return int((time.monotonic() - self.began) * 1000)

    def entry(self):
        return {"service": self.world.service,
                "address": "127.0.0.1:%d" % self.port, "zone": self.zone,
                "version": "1", "state": "ready", "born": self.born,
                "capacity": self.capacity, "labels": [self.label]}

    def end(self, run, how):
        """Called with the lock held."""
        del self.running[run.name]
        self.ended[run.name] = max(self.ended.get(run.name, 0), run.number)
        self.finished.append([self.next_end, run.name, run.number, how, ""])
        self.next_end += 1
        self.world.note(self, run, how)

    def refuse(self, reason):
        return 409, {"clock_ms": self.clock(), "reason": reason}

    def extend(self, body):
        until = min(body.get("deadline_ms", 0), self.clock() + MAX_LEASE_MS)
        self.lease = max(self.lease, until)

    def order(self, path, body):
        """Returns (status, body). Called with the lock held."""
        if body.get("fencing_token", 0) < self.fence:
            return self.refuse("fence")
        self.fence = body.get("fencing_token", 0)
        return {"/v1/run-start": self.start, "/v1/run-stop": self.stop,
                "/v1/hold": self.hold}.get(path, self.other)(body)

    def other(self, _):
        return 200, {"clock_ms": self.clock()}

    def start(self, body):
        name, number = body["task"], body["run"]
        if body["deadline_ms"] <= self.clock():
            return self.refuse("late")
        self.extend(body)
        present = self.running.get(name)
        if present and present.number == number:
            return 200, {"clock_ms": self.clock()}
        if present or number <= self.ended.get(name, 0):
            return self.refuse("old")
        if not self.world.ticket_holds(self, name, body.get("ticket")):
            return self.refuse("ticket")
        run = self.world.make_run(name, number, body["spec"])
        self.running[name] = run
        self.world.note(self, run, "start")
        return 200, {"clock_ms": self.clock()}

    def stop(self, body):
        name, number = body["task"], body["run"]
        run = self.running.get(name)
        self.ended[name] = max(self.ended.get(name, 0), number)
        if run and run.number <= number and run.stops_at is None:
            run.stops_at = time.monotonic() + STOP_S
        return 200, {"clock_ms": self.clock()}

    def hold(self, body):
        self.extend(body)
        seen = body["ack_cursor"]
        for end in self.finished:
            if end[0] <= seen:
                self.world.acknowledged(end)
        self.finished = [end for end in self.finished if end[0] > seen]
        return 200, self.lists()

    def lists(self):
        now = time.monotonic()
        rows = []
        for run in self.running.values():
            part = 0 if run.began is None else (now - run.began) / run.seconds
            rows.append([run.name, run.number, "", min(int(part * 100), 99), 0])
        return {"clock_ms": self.clock(), "born": self.born, "running": rows,
                "finished": self.finished[:500]}

    def tick(self, now):
        for run in list(self.running.values()):
            if self.clock() >= self.lease:
                self.end(run, "lapsed")
            elif run.stops_at is not None and now >= run.stops_at:
                self.end(run, "stopped")


class World:
    """All VMs, what the jobs are, and the history that the checks read."""

    def __init__(self, service, seed):
        self.service = service
        self.lock = threading.RLock()
        self.ends = threading.Condition(self.lock)
        self.vms = {}
        self.history = []
        self.done = set()
        self.jobs = {}
        self.random = random.Random(seed)
        self.closed = False

    def run(self):
        while not self.closed:
            with self.lock:
                before = sum(vm.next_end for vm in self.vms.values())
                self.tick(time.monotonic())
                if sum(vm.next_end for vm in self.vms.values()) != before:
                    self.ends.notify_all()
            time.sleep(TICK_S)

    def note(self, vm, run, what):
        self.history.append({"at": time.monotonic(), "vm": vm.name,
                             "task": run.name, "run": run.number,
                             "what": what, "size": run.size})

    def acknowledged(self, end):
        if end[3] == "done":
            self.done.add(end[1])
            self.history.append({"at": time.monotonic(), "task": end[1],
                                 "run": end[2], "what": "acknowledged"})

    def step_of(self, task):
        job, _, step, _ = task.split(".")
        return self.jobs[job]["steps"][int(step)]

    def make_run(self, name, number, spec):
        step = self.step_of(name)
        # The same for each play of a seed, whatever the threads do.
        luck = random.Random("%s %d" % (name, number))
        seconds = step["estimate_ms"] / 1000 * luck.uniform(0.5, 1.5)
        fails = luck.random() < json.loads(spec)["fails"]
        size = (step["cpu"], step["mem_mb"])
        return Run(name, number, seconds, fails, size)

    def ticket_holds(self, vm, task, ticket):
        if ticket is None:
            return True
        step, born, until = ticket.rsplit("/", 2)
        return (task.rsplit(".", 1)[0] == step and int(born) == vm.born and
                time.monotonic() < float(until))

    def tick(self, now):
        for vm in self.vms.values():
            vm.tick(now)
        gangs = {}
        for vm in self.vms.values():
            for run in list(vm.running.values()):
                if vm.hangs or run.stops_at is not None:
                    continue
                step = self.step_of(run.name)
                if step.get("gang"):
                    key = (run.name.rsplit(".", 1)[0], run.number)
                    gangs.setdefault(key, []).append((vm, run))
                    continue
                if run.began is None:
                    run.began = now
                if now - run.began >= run.seconds:
                    vm.end(run, "failed" if run.fails else "done")
        for members in gangs.values():
            self.tick_gang(members, now)

    def tick_gang(self, members, now):
        wanted = self.step_of(members[0][1].name)["count"]
        whole = len(members) == wanted
        began = [run.began for _, run in members if run.began is not None]
        for vm, run in members:
            if whole and not began:
                run.began = now
            elif not whole and began:
                vm.end(run, "broken")
            elif not whole and now - run.came > GANG_TIMEOUT_S:
                vm.end(run, "alone")
            elif whole and now - max(began) >= members[0][1].seconds:
                vm.end(run, "failed" if members[0][1].fails else "done")
