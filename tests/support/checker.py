"""Checks the histories of backend servers and callers for violations.

The checks use only what backend servers and callers recorded, never state
that the system under test reports about itself. A history is a list of event
dicts in order of time: "ev" is the kind of event, "t" its time. Calls are the
dicts that Workload records. Each check returns a list of messages, one for
each violation. All times are monotonic nanoseconds.
"""

import collections

# A VM that is being removed may still be sent work for this long.
LEAVING_GRACE_PERIOD_NS = 5 * 10**9


def task_key(event):
    """Returns the job id and the index that identify a task."""
    return event["job"], event["index"]


def customer_of_job(job):
    """Returns the customer part of a job id, DOMAIN.CUSTOMER.NAME."""
    return job.split(".")[1]


def check_vm_capacity(history, vms, isolated_vms=()):
    """No VM exceeds its CPU, memory, accelerator or request slot capacity.

    Nor is a VM sent more requests than it has slots. VMs in isolated_vms are
    exempt from this last rule: a VM whose backend server was suspended finds
    old requests waiting in its connections when it resumes.
    """
    violations = []
    used = collections.defaultdict(lambda: [0, 0, 0])
    requests = collections.Counter()
    for event in history:
        if (event["ev"] == "request_over_slots" and
                event["vm"] not in isolated_vms):
            violations.append("%s was sent more requests than it has slots" %
                              event["vm"])
        if event["ev"] in ("request_start", "request_end"):
            vm = event["vm"]
            requests[vm] += 1 if event["ev"] == "request_start" else -1
            if requests[vm] > vms[vm]["slots"]:
                violations.append("%s runs %d requests, more than its slots" %
                                  (vm, requests[vm]))
        sign = {"task_start": 1, "task_end": -1,
                "task_stopped": -1}.get(event["ev"])
        if sign is None:
            continue
        vm = event["vm"]
        for index, resource in enumerate(("milli_cores", "memory_mb",
                                          "accelerators")):
            used[vm][index] += sign * event[resource]
            if used[vm][index] > vms[vm][resource]:
                violations.append("%s uses %d %s, more than it has" %
                                  (vm, used[vm][index], resource))
    return violations


def check_no_concurrent_task_runs(history):
    """No task runs twice at the same time, on one VM or on two."""
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
    """Each caller gets the complete response to its own request.

    The backend servers echo the request body.
    """
    return ["%s got a response that differs from its request" % call["mark"]
            for call in calls
            if call["outcome"] == "done" and call["answer"] != call["body"]]


def check_no_broken_calls(calls):
    """No daemon drops a call that it accepted, even when it is shut down.

    This holds for trials without a fault that kills or suspends a daemon.
    """
    return ["%s was dropped by %s" % (call["mark"], call["daemon"])
            for call in calls if call["outcome"] == "broken"]


def check_not_run_outcomes(history, calls):
    """A request whose every attempt returned not_run was never started."""
    started = {event["mark"] for event in history
               if event["ev"] == "request_start"}
    outcomes = collections.defaultdict(set)
    for call in calls:
        outcomes[call["mark"]].add(call["outcome"])
    return ["%s was reported as not_run but was started" % mark
            for mark, seen in outcomes.items()
            if seen == {"not_run"} and mark in started]


def check_requests_at_most_once(history, calls):
    """A request that is not idempotent starts at most once."""
    once = {call["mark"] for call in calls if not call["idempotent"]}
    starts = collections.Counter(event["mark"] for event in history
                                 if event["ev"] == "request_start")
    return ["%s was started %d times" % (mark, count)
            for mark, count in starts.items() if count > 1 and mark in once]


def check_done_outcomes(history, calls):
    """A request that returned done ran to its end on a backend server."""
    ended = {event["mark"] for event in history
             if event["ev"] == "request_end"}
    return ["%s was reported as done but did not run to its end" %
            call["mark"]
            for call in calls
            if call["outcome"] == "done" and call["mark"] not in ended]


def check_leaving_vms(history):
    """A leaving VM is sent no new work once its grace period has passed.

    Work that the VM refused counts as sent.
    """
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
                    "%s was sent new work %.1f s after it began to leave" %
                    (event["vm"], (event["t"] - left_at) / 1e9))
    return violations


def check_customer_limits(history, limits):
    """No customer uses more than its contract allows in all domains."""
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
                        "%s uses %d %s, more than its contract allows" %
                        (customer, used[customer][index], resource))
        elif event["ev"] == "request_start":
            customers[event["id"]] = event["customer"]
            requests[event["customer"]] += 1
            limit = limits.get(event["customer"], {}).get("requests")
            if limit is not None and requests[event["customer"]] > limit:
                violations.append(
                    "%s has %d requests in flight, "
                    "more than its contract allows" %
                    (event["customer"], requests[event["customer"]]))
        elif event["ev"] == "request_end":
            requests[customers.get(event["id"], "")] -= 1
    return violations


def check_tasks_at_most_once(history, jobs):
    """Tasks of jobs that are not restartable start at most once."""
    once = {job["id"] for job in jobs if not job["restartable"]}
    starts = collections.Counter(task_key(event) for event in history
                                 if event["ev"] == "task_start")
    return ["%s/%d started %d times" % (*task, count)
            for task, count in starts.items()
            if count > 1 and task[0] in once]


def check_jobs_completed(history, jobs):
    """Every task of an accepted, restartable job ran to its end."""
    ended = {task_key(event) for event in history if event["ev"] == "task_end"}
    return ["%s/%d never ran to its end" % (job["id"], index)
            for job in jobs if job["restartable"]
            for index in range(job["tasks"])
            if (job["id"], index) not in ended]


def check_no_rerun_after_end(history, isolated_vms=()):
    """A task that ran to its end does not run to its end again.

    A VM that a fault isolated from the owner for longer than the lease cannot
    report the end of a task. The owner then restarts a restartable task, as
    it cannot know that the task ended. Ends on such VMs, given in
    isolated_vms, are not counted.
    """
    ends = collections.Counter(task_key(event) for event in history
                               if event["ev"] == "task_end" and
                               event["vm"] not in isolated_vms)
    return ["%s/%d ran to its end %d times" % (*task, count)
            for task, count in ends.items() if count > 1]


def check_contract_versions(observations, accepted, within_ns):
    """Accepted contract versions come into force in time and never revert.

    observations: dicts of t, daemon, customer and version, one for each
    version that a daemon reported as in force.
    accepted: dicts of t, customer and version, one for each accepted change.
    within_ns: the longest time from acceptance until every daemon applies
    the change.
    """
    violations = []
    last = {}
    for observation in sorted(observations, key=lambda each: each["t"]):
        key = observation["daemon"], observation["customer"]
        if observation["version"] < last.get(key, 0):
            violations.append(
                "%s reverted from version %d of contract %s to %d" %
                (key[0], last[key], key[1], observation["version"]))
        last[key] = max(last.get(key, 0), observation["version"])
        for change in accepted:
            if (change["customer"] == observation["customer"] and
                    observation["t"] - change["t"] > within_ns and
                    observation["version"] < change["version"]):
                violations.append(
                    "%s still applies version %d of contract %s" %
                    (observation["daemon"], observation["version"],
                     observation["customer"]))
    versions = collections.Counter((change["customer"], change["version"])
                                   for change in accepted)
    violations += ["version %d of contract %s was accepted more than once" %
                   (version, customer)
                   for (customer, version), count in versions.items()
                   if count > 1]
    return violations
