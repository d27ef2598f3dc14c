"""Among 30 submissions comes one that can never be done: 500 steps of 5,000
tasks, each larger than any worker. As on the platform, a daemon that exceeds its
`memory_mb` is killed, and starts again after a second."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "6"))
import standins  # pylint: disable=wrong-import-position

MEMORY_MB, NORMAL, TASK_S = 260, 30, 4.0
STEPS, COUNT = 500, 5000
POISON = "%016x" % 0x9018041000000000
FINISH_S = 14  # the bound finish_s


def memory_mb(process):
    with open("/proc/%d/status" % process.pid) as file:
        for line in file:
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1024
    return 0


async def keep_limits(deployment):
    """What the platform does with processes: see DEPLOY.md."""
    while True:
        for name, daemon in deployment.daemons.items():
            process = daemon["process"]
            try:
                used = memory_mb(process) if process.poll() is None else 0
            except OSError:
                used = 0
            daemon["peak"] = max(daemon.get("peak", 0), used)
            if used > MEMORY_MB:
                process.kill()
                process.wait()
                deployment.record("process", name, "over", MEMORY_MB,
                                  "MB, killed")
            if process.poll() is not None:
                asyncio.ensure_future(restart(deployment, name))
                await asyncio.sleep(1.1)
        await asyncio.sleep(0.01)


async def restart(deployment, name):
    await asyncio.sleep(1.0)
    deployment.start_daemon(name)
    deployment.record("process", name, "started again")


async def scenario(deployment, trouble):
    deployment.routes = [{
        "name": "r-check", "host": "h.example", "path_prefix": "/check/",
        "kind": "unsafe", "timeout_ms": 3000, "target_latency_ms": 250,
        "priority": 0, "service": "fitting", "attempts": 4, "stretch": 1.5}]
    plan = lambda worker, task, run, spec: (TASK_S, "done")
    for number in range(6):
        await deployment.add_worker(standins.Worker(
            "i-%08x" % (0x7f3a91c2 + number), "fitting", deployment.record,
            plan, rack="r1-%d" % (number // 5 + 1)), proxied=False)
    await deployment.start()
    await asyncio.sleep(3)
    asyncio.ensure_future(keep_limits(deployment))
    accepted = []
    for number in range(NORMAL):
        if trouble and number == NORMAL // 2:
            steps = [{"count": COUNT, "cpu": 64000, "mem_mb": 100,
                      "estimate_ms": 1000}] * STEPS
            await deployment.client("POST", "/check/" + POISON,
                                    {"spec": "x", "steps": steps}, first=number)
        job = "%016x" % (0x5c0e7a21d94b3000 + number)
        status, _ = await deployment.client(
            "POST", "/check/" + job,
            {"spec": "check", "steps": [{"count": 2, "cpu": 1500,
                                         "mem_mb": 2800, "estimate_ms":
                                         int(TASK_S * 1000)}]}, first=number)
        if status == 200:
            accepted.append(job)
        await asyncio.sleep(0.1)
    deployment.record("note", "end of the traffic, accepted", len(accepted))
    await asyncio.sleep(FINISH_S)
    broken = []
    for number, job in enumerate(accepted):
        status, content = await deployment.client("GET", "/check/" + job,
                                                  tries=3, first=number)
        if status != 200:
            broken.append("%s gets no answer, %d" % (job, status))
        elif content["state"] != "completed":
            # Six workers have room for all of them at once.
            runs = [e for e in deployment.events
                    if e[1] == "run" and e[3].startswith(job)]
            if not runs:
                broken.append("%s is %s, and has never run" %
                              (job, content["state"]))
    for name, daemon in deployment.daemons.items():
        deployment.record("note", name, "peak MB", int(daemon["peak"]))
    return broken


if __name__ == "__main__":
    # TROUBLE=0 does the same without the disruption.
    sys.exit(standins.main(FOLDER, scenario,
                           os.environ.get("TROUBLE", "1") != "0"))
