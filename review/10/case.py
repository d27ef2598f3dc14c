"""Among submissions of two queues comes one that can never be done: 200 steps
of one task each, which is larger than any worker, in the more urgent queue."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "6"))
import standins  # pylint: disable=wrong-import-position

NORMAL, TASK_S, STEPS = 30, 2.0, 200
POISON = "9018041000000000"
FINISH_S, IDLE_S = 14, 3  # finish_s, and the 3 s of the rule


async def scenario(deployment, trouble):
    route = {"host": "h.example", "kind": "unsafe", "timeout_ms": 3000,
             "service": "fitting", "attempts": 4}
    deployment.routes = [
        {**route, "name": "r-check", "path_prefix": "/check/", "priority": 0,
         "target_latency_ms": 250, "stretch": 1.5},
        {**route, "name": "r-plan", "path_prefix": "/plan/", "priority": 2,
         "target_latency_ms": 3000, "stretch": 4.0}]
    plan = lambda worker, task, run, spec: (TASK_S, "done")
    for number in range(6):
        await deployment.add_worker(standins.Worker(
            "i-%08x" % (0x7f3a91c2 + number), "fitting", deployment.record,
            plan, rack="r1-%d" % (number // 5 + 1)), proxied=False)
    await deployment.start()
    await asyncio.sleep(3)
    accepted = []
    for number in range(NORMAL):
        if trouble and number == NORMAL // 2:
            await deployment.client(
                "POST", "/check/" + POISON,
                {"spec": "x", "steps": [{"count": 1, "cpu": 64000,
                                         "mem_mb": 100, "estimate_ms": 20000}
                                        ] * STEPS}, first=number)
        path = "/plan/%016x" % (0x5c0e7a21d94b3000 + number)
        status, _ = await deployment.client(
            "POST", path, {"spec": "plan", "steps": [{
                "count": 2, "cpu": 1500, "mem_mb": 2800,
                "estimate_ms": int(TASK_S * 1000)}]}, first=number)
        if status == 200:
            accepted.append(path)
        await asyncio.sleep(0.2)
    deployment.record("note", "end of the traffic, accepted", len(accepted))
    await asyncio.sleep(FINISH_S)

    async def ask(number, path):
        _, content = await deployment.client("GET", path, first=number)
        return content.get("state")

    waiting = [path for number, path in enumerate(accepted)
               if await ask(number, path) != "completed"]
    await asyncio.sleep(IDLE_S)
    broken = []
    for number, path in enumerate(waiting):
        # Nothing else runs on the six workers by now.
        job = path.rsplit("/", 1)[1]
        if not any(e[1] == "run" and e[3].startswith(job)
                   for e in deployment.events):
            broken.append("%s is %s %d s after the end of the traffic, and has "
                          "never run" % (path, await ask(number, path),
                                         FINISH_S + IDLE_S))
    deployment.record("note", "tasks at work",
                      sum(len(w.running) for w in deployment.workers))
    return broken


if __name__ == "__main__":
    # TROUBLE=0 does the same without the disruption.
    sys.exit(standins.main(FOLDER, scenario,
                           os.environ.get("TROUBLE", "1") != "0"))
