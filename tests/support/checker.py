"""Reads what backend servers and callers saw, and finds broken promises.

The checks take histories only, never what the system says of itself. Each
returns a list of violations in words. All times are monotonic nanoseconds.
"""

import collections

LEAVING_GRACE_PERIOD_NS = 5 * 10**9


def task_key(event):
    return event["job"], event["index"]


def customer_of_job(job):
    """Ids of jobs are DOMAIN.CUSTOMER.NAME."""
    return job.split(".")[1]


def check_vm_capacity(history, vms, isolated_vms=()):
    """No VM has more work than processors, memory, accelerators, slots.

    A VM is not even sent more requests than it has slots; but for one that the
    test has frozen, which finds requests of long ago when it wakes.
    """
    violations = []
    used = collections.defaultdict(lambda: [0, 0, 0])
    requests = collections.Counter()
    for event in history:
        if (event["ev"] == "request_over_slots" and
                event["vm"] not in isolated_vms):
            violations.append("%s was sent more than its slots" % event["vm"])
        if event["ev"] in ("request_start", "request_end"):
            vm = event["vm"]
            requests[vm] += 1 if event["ev"] == "request_start" else -1
            if requests[vm] > vms[vm]["slots"]:
                violations.append("%s runs %d requests" % (vm, requests[vm]))
        sign = {"task_start": 1, "task_end": -1,
                "task_stopped": -1}.get(event["ev"])
        if sign is None:
            continue
        vm = event["vm"]
        for index, resource in enumerate(("milli_cores", "memory_mb",
                                          "accelerators")):
            used[vm][index] += sign * event[resource]
            if used[vm][index] > vms[vm][resource]:
                violations.append("%s holds %d %s" %
                                  (vm, used[vm][index], resource))
    return violations


def check_no_concurrent_task_runs(history):
    """No task runs in two places at once."""
    violations = []
    running = {}
    for event in history:
        if event["ev"] == "task_start":
            task = task_key(event)
            if task in running:
                violations.append("%s/%d runs on %s and %s" %
                                  (*task, running[task], event["vm"]))
            running[task] = event["vm"]
        elif event["ev"] in ("task_end", "task_stopped"):
            running.pop(task_key(event), None)
    return violations


def check_response_bodies(calls):
    """Each caller gets the whole answer to its own request."""
    return ["%s got another answer" % call["mark"] for call in calls
            if call["outcome"] == "done" and call["answer"] != call["body"]]


def check_no_broken_calls(calls):
    """A planned stop cuts off no call that was taken."""
    return ["%s was cut off by %s" % (call["mark"], call["daemon"])
            for call in calls if call["outcome"] == "broken"]


def check_not_run_outcomes(history, calls):
    """What was answered with "not run" by every try was not run."""
    started = {event["mark"] for event in history
               if event["ev"] == "request_start"}
    outcomes = collections.defaultdict(set)
    for call in calls:
        outcomes[call["mark"]].add(call["outcome"])
    return ["%s was called not run but ran" % mark
            for mark, seen in outcomes.items()
            if seen == {"not_run"} and mark in started]


def check_requests_at_most_once(history, calls):
    """What may not be repeated ran at most once."""
    once = {call["mark"] for call in calls if not call["idempotent"]}
    starts = collections.Counter(event["mark"] for event in history
                                 if event["ev"] == "request_start")
    return ["%s ran %d times" % (mark, count)
            for mark, count in starts.items() if count > 1 and mark in once]


def check_done_outcomes(history, calls):
    """What was answered with "done" did run."""
    ended = {event["mark"] for event in history
             if event["ev"] == "request_end"}
    return ["%s was called done but did not run" % call["mark"]
            for call in calls
            if call["outcome"] == "done" and call["mark"] not in ended]


def check_leaving_vms(history):
    """A VM that is leaving is sent nothing new after five seconds."""
    violations = []
    since = {}
    for event in history:
        if event["ev"] == "leaving":
            since[event["vm"]] = event["t"]
        elif event["ev"] in ("task_start", "request_start",
                             "task_refused_leaving",
                             "request_refused_leaving"):
            left_at = since.get(event["vm"])
            if (left_at is not None and
                    event["t"] - left_at > LEAVING_GRACE_PERIOD_NS):
                violations.append(
                    "%s got new work %.1f s after it was leaving" %
                    (event["vm"], (event["t"] - left_at) / 1e9))
    return violations


def check_customer_limits(history, limits):
    """No customer holds more than its contract, over all domains."""
    violations = []
    used = collections.defaultdict(lambda: [0, 0])
    requests = collections.Counter()
    customers = {}
    for event in history:
        sign = {"task_start": 1, "task_end": -1,
                "task_stopped": -1}.get(event["ev"])
        if sign is not None:
            customer = customer_of_job(event["job"])
            for index, resource in enumerate(("milli_cores", "memory_mb")):
                used[customer][index] += sign * event[resource]
                limit = limits.get(customer, {}).get(resource)
                if limit is not None and used[customer][index] > limit:
                    violations.append(
                        "%s holds %d %s" %
                        (customer, used[customer][index], resource))
        elif event["ev"] == "request_start":
            customers[event["id"]] = event["customer"]
            requests[event["customer"]] += 1
            limit = limits.get(event["customer"], {}).get("requests")
            if limit is not None and requests[event["customer"]] > limit:
                violations.append(
                    "%s has %d requests in flight" %
                    (event["customer"], requests[event["customer"]]))
        elif event["ev"] == "request_end":
            requests[customers.get(event["id"], "")] -= 1
    return violations


def check_tasks_at_most_once(history, jobs):
    """Tasks of jobs that may not be repeated start at most once."""
    once = {job["id"] for job in jobs if not job["restartable"]}
    starts = collections.Counter(task_key(event) for event in history
                                 if event["ev"] == "task_start")
    return ["%s/%d started %d times" % (*task, count)
            for task, count in starts.items()
            if count > 1 and task[0] in once]


def check_jobs_completed(history, jobs):
    """Every accepted job has run, and each of its tasks to its end."""
    ended = {task_key(event) for event in history if event["ev"] == "task_end"}
    return ["%s/%d never ran to its end" % (job["id"], index)
            for job in jobs if job["restartable"]
            for index in range(job["tasks"])
            if (job["id"], index) not in ended]


def check_no_rerun_after_end(history, isolated_vms=()):
    """A task that ran to its end is not run again.

    A VM that the test has kept from its owner for longer than the lease can't
    tell of an end there; a job that may be restarted then runs again, since
    nobody can know. Such VMs are named by the test that cut them off.
    """
    ends = collections.Counter(task_key(event) for event in history
                               if event["ev"] == "task_end" and
                               event["vm"] not in isolated_vms)
    return ["%s/%d ran to its end %d times" % (*task, count)
            for task, count in ends.items() if count > 1]


def check_contract_versions(observations, accepted, within_ns):
    """Accepted versions come into force in time and never revert.

    observations: dicts of t, daemon, customer, version; accepted: dicts of t,
    customer, version.
    """
    violations = []
    last = {}
    for observation in sorted(observations, key=lambda each: each["t"]):
        key = observation["daemon"], observation["customer"]
        if observation["version"] < last.get(key, 0):
            violations.append(
                "%s went back from version %d of %s to %d" %
                (key[0], last[key], key[1], observation["version"]))
        last[key] = max(last.get(key, 0), observation["version"])
        for change in accepted:
            if (change["customer"] == observation["customer"] and
                    observation["t"] - change["t"] > within_ns and
                    observation["version"] < change["version"]):
                violations.append(
                    "%s still has version %d of %s" %
                    (observation["daemon"], observation["version"],
                     observation["customer"]))
    versions = collections.Counter((change["customer"], change["version"])
                                   for change in accepted)
    violations += ["version %d of %s was accepted twice" % (version, customer)
                   for (customer, version), count in versions.items()
                   if count > 1]
    return violations
