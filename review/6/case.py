"""Six workers with many small tasks; one of them is cut off from the daemons
for 2.5 s and runs on. More than 500 tasks end on it meanwhile."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, FOLDER)
import standins  # pylint: disable=wrong-import-position

JOBS, TASKS = 9, 200
WORKERS = 6
TASK_S = 9.0
CUT_S = 2.5


async def scenario(deployment, trouble):
    deployment.routes = [{
        "name": "r-small", "host": "h.example", "path_prefix": "/small/",
        "kind": "unsafe", "timeout_ms": 3000, "target_latency_ms": 3000,
        "priority": 1, "service": "fitting", "attempts": 4, "stretch": 4.0}]
    plan = lambda worker, task, run, spec: (TASK_S, "done")
    proxies = []
    # The sizes 2 and 0.5 of the site.
    for number in range(WORKERS):
        size = 2.0 if number == 0 else 0.5
        worker = standins.Worker(
            "i-%08x" % (0x7f3a91c2 + number), "fitting", deployment.record,
            plan, cpu=int(16000 * size), mem_mb=int(32768 * size),
            rack="r1-%d" % (number // 5 + 1))
        proxies.append(await deployment.add_worker(worker))
    await deployment.start()
    await asyncio.sleep(3)
    jobs = ["5c0e7a21d94b3%03x" % number for number in range(JOBS)]
    for job in jobs:
        status, _ = await deployment.client(
            "POST", "/small/" + job,
            {"spec": "small", "steps": [{
                "count": TASKS, "cpu": 40, "mem_mb": 64,
                "estimate_ms": int(TASK_S * 1000)}]})
        if status != 200:
            raise RuntimeError("not accepted: %d" % status)
    starts = lambda: [e for e in deployment.events
                      if e[1] == "run" and e[5] == "start"]
    while len(starts()) < JOBS * TASKS:
        await asyncio.sleep(0.05)
    first, last = starts()[0][0], starts()[-1][0]
    deployment.record("note", "all tasks run; the starts took %.2f s" %
                      (last - first))
    on_first = [e for e in starts() if e[2] == deployment.workers[0].name]
    # The cut covers as many of the ends on the first worker as it can.
    ends = sorted(e[0] + TASK_S for e in on_first)
    begin = max(ends[len(ends) // 2] - CUT_S / 2, ends[0] - 0.3)
    now = lambda: asyncio.get_event_loop().time() - deployment.began
    await asyncio.sleep(max(begin - now(), 0))
    if trouble:
        proxies[0].cut()
        deployment.record("cut", deployment.workers[0].name)
    await asyncio.sleep(CUT_S)
    if trouble:
        proxies[0].heal()
        deployment.record("healed", deployment.workers[0].name)
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
    sys.exit(standins.main(FOLDER, scenario))
