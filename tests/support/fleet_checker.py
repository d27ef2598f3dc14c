"""Checks the history of a fleet trial, and what callers saw, for violations.

A history is a list of event dicts in order of time, as VmSimulation records
them: "what" is the kind of event, "task" is JOB.OCCURRENCE.STEP.INDEX, and
"run" counts the runs of that task. Each check returns a list of messages, one
for each violation.
"""

import json

# A job may be given up when this many VMs have crashed under one of its tasks.
CRASHES_TO_GIVE_UP = 2


def check_exclusive_runs(history):
    """No task has two runs at the same time, and none starts once a
    successful end of the task was acknowledged to the VM."""
    violations, running, done = [], {}, set()
    for event in history:
        task, run = event["task"], event.get("run")
        if event["what"] == "acknowledged":
            done.add(task)
        elif event["what"] == "start":
            if task in done:
                violations.append(
                    "%s #%d starts after its end was recorded" %
                    (task, run))
            if running.get(task):
                violations.append("%s #%d starts while runs %s are active" %
                                  (task, run, running[task]))
            running.setdefault(task, []).append((run, event["vm"]))
        elif (run, event["vm"]) in running.get(task, []):
            running[task].remove((run, event["vm"]))
    return violations


def check_vm_capacity(history, vms):
    """No start brings a VM over its CPU or memory capacity."""
    violations, used = [], {vm.name: [0, 0] for vm in vms}
    vms_by_name = {vm.name: vm for vm in vms}
    for event in history:
        if "vm" not in event:
            continue
        sign = 1 if event["what"] == "start" else -1
        vm_usage = used[event["vm"]]
        for index in (0, 1):
            vm_usage[index] += sign * event["size"][index]
        if event["what"] != "start":
            continue
        limits = [vms_by_name[event["vm"]].capacity_limit(field, event["at"])
                  for field in ("cpu", "mem_mb")]
        if vm_usage[0] > limits[0] or vm_usage[1] > limits[1]:
            violations.append("%s uses %s of %s after the start of %s" %
                              (event["vm"], vm_usage, limits, event["task"]))
    return violations


def check_crashing_tasks(history, jobs):
    """A task that crashes each VM that starts it is started less than three
    times more after three crashes."""
    violations, crashes, later_starts = [], {}, {}
    for event in history:
        task = event["task"]
        spec = json.loads(jobs[task.split(".")[0]]["spec"])
        if not (spec.get("crashes") and task.endswith(".0.0.0")):
            continue
        if event["what"] == "crashed":
            crashes[task] = crashes.get(task, 0) + 1
        elif event["what"] == "start" and crashes.get(task, 0) >= 3:
            later_starts[task] = later_starts.get(task, 0) + 1
            if later_starts[task] == 3:
                violations.append("%s starts a third time after %d crashes" %
                                  (task, crashes[task]))
    return violations


def check_step_order(history, jobs):
    """A step starts only after all steps that it depends on are done."""
    violations, done = [], set()
    for event in history:
        if event["what"] == "done":
            done.add(event["task"])
        if event["what"] != "start":
            continue
        job, occurrence, step, _ = event["task"].split(".")
        steps = jobs[job]["steps"]
        for earlier_step in steps[int(step)].get("after", []):
            missing = [index for index in range(steps[earlier_step]["count"])
                       if "%s.%s.%d.%d" % (job, occurrence, earlier_step,
                                           index) not in done]
            # A gang is done when at least one member ended as done.
            if missing and not (steps[earlier_step].get("gang") and
                                len(missing) < steps[earlier_step]["count"]):
                violations.append("%s starts before step %d is done" %
                                  (event["task"], earlier_step))
    return violations


def check_vm_labels(history, jobs, vms):
    """A step that requires a label runs only on VMs with that label."""
    labels = {vm.name: vm.label for vm in vms}
    return ["%s runs on %s, which lacks its label" %
            (event["task"], event["vm"])
            for event in history if event["what"] == "start"
            for step in [jobs[event["task"].split(".")[0]]["steps"][
                int(event["task"].split(".")[2])]]
            if step.get("requires") not in (None, labels[event["vm"]])]


def check_tasks_per_vm(history, jobs):
    """No start puts more tasks of a step, of one occurrence, on a VM than
    `anti_affinity` allows. A run counts until it ends, also while it is being
    stopped."""
    violations, running = [], {}
    for event in history:
        if "vm" not in event:
            continue
        task = event["task"]
        job, _, step, _ = task.split(".")
        limit = jobs[job]["steps"][int(step)].get("anti_affinity")
        if not limit:
            continue
        tasks = running.setdefault((task.rsplit(".", 1)[0], event["vm"]),
                                   set())
        if event["what"] != "start":
            tasks.discard(task)
            continue
        tasks.add(task)
        if len(tasks) > limit:
            violations.append("%s #%d starts on %s beside %s, limit %d" % (
                task, event["run"], event["vm"], sorted(tasks - {task}),
                limit))
    return violations


def check_reported_outcomes(history, calls, jobs):
    """The state reported to a caller is what happened to the job."""
    violations = []
    ran = {event["task"].split(".")[0] for event in history
           if event["what"] == "start"}
    done = {event["task"] for event in history if event["what"] == "done"}
    failed, crashed = {}, {}
    for event in history:
        for what, counts in (("failed", failed), ("crashed", crashed)):
            if event["what"] == what:
                counts[event["task"]] = counts.get(event["task"], 0) + 1

    def most(counts, job):
        return max((count for task, count in counts.items()
                    if task.startswith(job)), default=0)

    for call in calls:
        job = call["job"]
        violations += ["%s: %s" % (job, problem)
                       for problem in call["problems"]]
        if call["refused"] and job in ran:
            violations.append(job + " was refused as not run, but ran")
        if call["state"] == "completed":
            for step_number, step in enumerate(jobs[job]["steps"]):
                tasks = ["%s.0.%d.%d" % (job, step_number, index)
                         for index in range(step["count"])]
                ended = [task in done for task in tasks]
                if not (any(ended) if step.get("gang") else all(ended)):
                    violations.append(
                        "%s is reported as completed, but step %d is not" %
                        (job, step_number))
        elif call["state"] == "failed":
            if (most(failed, job) < call["attempts"] and
                    most(crashed, job) < CRASHES_TO_GIVE_UP):
                violations.append(
                    job + " is reported as failed before all of its attempts")
        elif call["state"] == "cancelled" and not call["cancelled"]:
            violations.append(
                job + " is reported as cancelled without a request to cancel")
        elif call["accepted"] and call["state"] is None:
            violations.append(job + " was accepted but did not end")
    return violations
