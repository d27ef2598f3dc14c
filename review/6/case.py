"""Six workers with many small tasks; one of them is cut off from the daemons
for 2.5 s and runs on. More than 500 tasks end on it meanwhile."""

import asyncio
import heapq
import os
import random
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, FOLDER)
import standins  # pylint: disable=wrong-import-position

JOBS, TASKS, PAUSE_S = 60, 48, 0.15
WORKERS = 6
ESTIMATE_S = 10.0
CUT_S, ENDS_WITHIN_S = 2.5, 2.2


class CutWorker(standins.Worker):
    """A worker that can be cut off. Calls that come during the cut are lost, and
    answers that were due too; their channels end with the cut."""

    is_cut, cuts = False, 0

    def cut(self):
        self.is_cut, self.cuts, self.healed = True, self.cuts + 1, asyncio.Event()

    def heal(self):
        self.is_cut = False
        self.healed.set()

    async def handle(self, method, path, query, headers, body):
        before = self.cuts
        answer = None
        if not self.is_cut:
            answer = await super().handle(method, path, query, headers, body)
        if self.is_cut:
            await self.healed.wait()
        return answer if self.cuts == before else None


async def scenario(deployment, trouble):
    deployment.routes = [{
        "name": "r-small", "host": "h.example", "path_prefix": "/small/",
        "kind": "unsafe", "timeout_ms": 3000, "target_latency_ms": 3000,
        "priority": 1, "service": "fitting", "attempts": 4, "stretch": 4.0}]
    # The first runs get their ends below.
    plan = lambda worker, task, run, spec: (60.0 if run == 1 else 1.0, "done")
    # The sizes 2 and 0.5 of the site.
    for number in range(WORKERS):
        size = 2.0 if number == 0 else 0.5
        await deployment.add_worker(CutWorker(
            "i-%08x" % (0x7f3a91c2 + number), "fitting", deployment.record,
            plan, cpu=int(16000 * size), mem_mb=int(32768 * size),
            rack="r1-%d" % (number // 5 + 1)), proxied=False)
    first = deployment.workers[0]
    await deployment.start()
    await asyncio.sleep(3)
    jobs = ["5c0e7a21d94b3%03x" % number for number in range(JOBS)]
    for job in jobs:
        status, _ = await deployment.client(
            "POST", "/small/" + job,
            {"spec": "small", "steps": [{
                "count": TASKS, "cpu": 25, "mem_mb": 48,
                "estimate_ms": int(ESTIMATE_S * 1000)}]})
        if status != 200:
            raise RuntimeError("not accepted: %d" % status)
        await asyncio.sleep(PAUSE_S)
    starts = lambda: [e for e in deployment.events
                      if e[1] == "run" and e[5] == "start"]
    while len(starts()) < JOBS * TASKS:
        await asyncio.sleep(0.05)
    deployment.record("note", "all tasks run")
    # All first runs end within 2.2 s.
    begin = time.monotonic() + 1.5
    for worker in deployment.workers:
        for run in worker.running.values():
            run.ends_at = begin + random.uniform(0, ENDS_WITHIN_S)
            heapq.heappush(worker.due, (run.ends_at, run.task, run.number))
    await asyncio.sleep(begin - time.monotonic() - 0.1)
    if trouble:
        first.cut()
        deployment.record("cut", first.name)
    await asyncio.sleep(CUT_S)
    if trouble:
        first.heal()
        deployment.record("healed", first.name)
    for job in jobs:
        for _ in range(60):
            _, content = await deployment.client("GET", "/small/" + job)
            if content.get("state") in ("completed", "failed"):
                break
            await asyncio.sleep(0.5)
    await asyncio.sleep(2)
    return starts_after_done(deployment.events)


def starts_after_done(events):
    """TWICE: a start after a run has ended `done`, if that end is taken note
    of then or later."""
    noted = {(e[3], e[4]) for e in events if e[1] == "noted" and e[5] == "done"}
    done_at = {}
    broken = []
    for event in events:
        if event[1] != "run":
            continue
        at, _, worker, task, run, what = event
        if what == "done" and (task, run) in noted:
            done_at.setdefault(task, (at, run, worker))
        elif what == "start" and task in done_at:
            broken.append("%s run %d started on %s at %.3f s, though run %d "
                          "had ended done on %s at %.3f s, which was noted" %
                          (task, run, worker, at, done_at[task][1],
                           done_at[task][2], done_at[task][0]))
    return broken


if __name__ == "__main__":
    # TROUBLE=0 does the same without the disruption.
    sys.exit(standins.main(FOLDER, scenario,
                           os.environ.get("TROUBLE", "1") != "0"))
