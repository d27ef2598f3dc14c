"""The promises to callers, checked on what VMs ran and callers saw."""


def check_one_run(history):
    """No task has two runs at a time, and none once its end is recorded."""
    problems, running, done = [], {}, set()
    for event in history:
        task, run = event["task"], event.get("run")
        if event["what"] == "acknowledged":
            done.add(task)
        elif event["what"] == "start":
            if task in done:
                problems.append("%s #%d starts after its end was recorded" %
                                (task, run))
            if running.get(task):
                problems.append("%s #%d starts while %s run" %
                                (task, run, running[task]))
            running.setdefault(task, []).append((run, event["vm"]))
        elif (run, event["vm"]) in running.get(task, []):
            running[task].remove((run, event["vm"]))
    return problems


def check_room(history, vms):
    """No VM holds more than it has."""
    problems, used = [], {vm.name: [0, 0] for vm in vms}
    for event in history:
        if "vm" not in event:
            continue
        sign = 1 if event["what"] == "start" else -1
        here = used[event["vm"]]
        for part in (0, 1):
            here[part] += sign * event["size"][part]
        room = next(vm for vm in vms if vm.name == event["vm"]).capacity
        if here[0] > room["cpu"] or here[1] > room["mem_mb"]:
            problems.append("%s holds %s of %s after %s" %
                            (event["vm"], here, room, event["task"]))
    return problems


def check_order(history, jobs):
    """A step starts when the steps before it are done, on VMs that suit."""
    problems, done = [], set()
    for event in history:
        if event["what"] == "done":
            done.add(event["task"])
        if event["what"] != "start":
            continue
        job, occurrence, step, _ = event["task"].split(".")
        steps = jobs[job]["steps"]
        for before in steps[int(step)].get("after", []):
            missing = [index for index in range(steps[before]["count"])
                       if "%s.%s.%d.%d" % (job, occurrence, before, index)
                       not in done]
            # One end as done stands for a gang.
            if missing and not (steps[before].get("gang") and
                                len(missing) < steps[before]["count"]):
                problems.append("%s starts before step %d is done" %
                                (event["task"], before))
    return problems


def check_labels(history, jobs, vms):
    labels = {vm.name: vm.label for vm in vms}
    return ["%s runs on %s" % (event["task"], event["vm"])
            for event in history if event["what"] == "start"
            for step in [jobs[event["task"].split(".")[0]]["steps"][
                int(event["task"].split(".")[2])]]
            if step.get("requires") not in (None, labels[event["vm"]])]


def check_outcomes(history, calls, jobs):
    """What callers were told is what happened to their jobs."""
    problems = []
    ran = {event["task"].split(".")[0] for event in history
           if event["what"] == "start"}
    done = {event["task"] for event in history if event["what"] == "done"}
    failed = {}
    for event in history:
        if event["what"] == "failed":
            failed[event["task"]] = failed.get(event["task"], 0) + 1
    for call in calls:
        job = call["job"]
        problems += ["%s: %s" % (job, each) for each in call["problems"]]
        if call["refused"] and job in ran:
            problems.append(job + " was refused as not run, and ran")
        if call["state"] == "completed":
            for number, step in enumerate(jobs[job]["steps"]):
                names = ["%s.0.%d.%d" % (job, number, index)
                         for index in range(step["count"])]
                ended = [name in done for name in names]
                if not (any(ended) if step.get("gang") else all(ended)):
                    problems.append("%s is completed, step %d is not" %
                                    (job, number))
        elif call["state"] == "failed":
            if max((count for task, count in failed.items()
                    if task.startswith(job)), default=0) < call["attempts"]:
                problems.append(job + " is failed without its attempts")
        elif call["state"] == "cancelled" and not call["cancelled"]:
            problems.append(job + " is cancelled, and nobody asked for it")
        elif call["accepted"] and call["state"] is None:
            problems.append(job + " was accepted and has no end")
    return problems
