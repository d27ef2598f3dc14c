"""Each check of checker.py finds violations and accepts a valid history."""

import unittest

import checker

VMS = {"v": dict(milli_cores=2000, memory_mb=2000, accelerators=0, slots=1)}


def task_event(ev, t, job="d1.c.j", index=0, vm="v", **size):
    event = dict(ev=ev, t=t, job=job, index=index, vm=vm, milli_cores=1000,
                 memory_mb=1000, accelerators=0)
    event.update(size)
    return event


def request_event(ev, t, mark="m", vm="v", ident="r1", customer="c"):
    return dict(ev=ev, t=t, mark=mark, vm=vm, id=ident, customer=customer)


def call_record(mark="m", outcome="done", idempotent=False, body="b",
                answer="b"):
    return dict(mark=mark, outcome=outcome, idempotent=idempotent, body=body,
                answer=answer, daemon="d1-a")


VALID_TASK_RUN = [task_event("task_start", 1), task_event("task_end", 2)]
VALID_REQUEST_RUN = [request_event("request_start", 1),
                     request_event("request_end", 2)]


class CheckerTest(unittest.TestCase):
    """Runs each check on a valid history and on ones with violations."""

    def test_vm_capacity(self):
        self.assertFalse(checker.check_vm_capacity(VALID_TASK_RUN, VMS))
        overcommitted = [task_event("task_start", n, index=n)
                         for n in range(3)]
        self.assertTrue(checker.check_vm_capacity(overcommitted, VMS))
        accelerator_use = [task_event("task_start", 1, accelerators=1)]
        self.assertTrue(checker.check_vm_capacity(accelerator_use, VMS))
        self.assertTrue(checker.check_vm_capacity(
            [request_event("request_over_slots", 1)], VMS))
        self.assertFalse(checker.check_vm_capacity(
            [request_event("request_over_slots", 1)], VMS, ("v",)))
        self.assertTrue(checker.check_vm_capacity(
            [request_event("request_start", 1),
             request_event("request_start", 2)], VMS, ("v",)))

    def test_no_concurrent_task_runs(self):
        self.assertFalse(checker.check_no_concurrent_task_runs(
            VALID_TASK_RUN * 2))
        self.assertTrue(checker.check_no_concurrent_task_runs(
            [task_event("task_start", 1),
             task_event("task_start", 2, vm="w")]))

    def test_response_bodies(self):
        self.assertFalse(checker.check_response_bodies([call_record()]))
        self.assertTrue(checker.check_response_bodies(
            [call_record(answer="other")]))
        self.assertTrue(checker.check_response_bodies(
            [call_record(body="bb", answer="b")]))

    def test_no_broken_calls(self):
        self.assertFalse(checker.check_no_broken_calls(
            [call_record(), call_record(outcome="refused")]))
        self.assertTrue(checker.check_no_broken_calls(
            [call_record(outcome="broken")]))

    def test_not_run_outcomes(self):
        calls = [call_record(outcome="not_run")]
        self.assertFalse(checker.check_not_run_outcomes([], calls))
        self.assertTrue(checker.check_not_run_outcomes(
            VALID_REQUEST_RUN, calls))

    def test_requests_at_most_once(self):
        twice = VALID_REQUEST_RUN + [
            request_event("request_start", 3, ident="r2")]
        self.assertFalse(checker.check_requests_at_most_once(
            VALID_REQUEST_RUN, [call_record()]))
        self.assertFalse(checker.check_requests_at_most_once(
            twice, [call_record(idempotent=True)]))
        self.assertTrue(checker.check_requests_at_most_once(
            twice, [call_record()]))

    def test_done_outcomes(self):
        self.assertFalse(checker.check_done_outcomes(
            VALID_REQUEST_RUN, [call_record()]))
        self.assertTrue(checker.check_done_outcomes([], [call_record()]))

    def test_leaving_vms(self):
        leaving = dict(ev="leaving", t=0, vm="v")
        in_time = request_event("request_refused_leaving", 4 * 10**9)
        self.assertFalse(checker.check_leaving_vms([leaving, in_time]))
        for late in (request_event("request_refused_leaving", 6 * 10**9),
                     task_event("task_start", 6 * 10**9)):
            self.assertTrue(checker.check_leaving_vms([leaving, late]))

    def test_customer_limits(self):
        limits = {"c": dict(milli_cores=1500, memory_mb=9000, requests=1)}
        self.assertFalse(checker.check_customer_limits(
            VALID_TASK_RUN + VALID_REQUEST_RUN, limits))
        self.assertTrue(checker.check_customer_limits(
            [task_event("task_start", 1),
             task_event("task_start", 2, index=1)], limits))
        self.assertTrue(checker.check_customer_limits(
            [request_event("request_start", 1),
             request_event("request_start", 2, ident="r2")], limits))

    def test_jobs(self):
        job = dict(id="d1.c.j", tasks=1, restartable=True)
        once = dict(job, restartable=False)
        again = VALID_TASK_RUN + [task_event("task_start", 3),
                                  task_event("task_end", 4)]
        self.assertFalse(checker.check_jobs_completed(VALID_TASK_RUN, [job]))
        self.assertTrue(checker.check_jobs_completed([], [job]))
        self.assertFalse(checker.check_tasks_at_most_once(
            VALID_TASK_RUN, [once]))
        self.assertTrue(checker.check_tasks_at_most_once(again, [once]))
        self.assertFalse(checker.check_no_rerun_after_end(VALID_TASK_RUN))
        self.assertTrue(checker.check_no_rerun_after_end(again))
        self.assertFalse(checker.check_no_rerun_after_end(again, ("v",)))
        self.assertTrue(checker.check_no_rerun_after_end(again, ("w",)))

    def test_contract_versions(self):
        def observation(t, version):
            return dict(t=t, daemon="d", customer="c", version=version)
        accepted = [dict(t=10, customer="c", version=2)]
        observations = [observation(1, 1), observation(11, 1),
                        observation(16, 2)]
        self.assertFalse(checker.check_contract_versions(
            observations, accepted, 5))
        self.assertTrue(checker.check_contract_versions(
            [observation(1, 2), observation(2, 1)], [], 5))
        self.assertTrue(checker.check_contract_versions(
            [observation(16, 1)], accepted, 5))
        self.assertTrue(checker.check_contract_versions([], accepted * 2, 5))


if __name__ == "__main__":
    unittest.main()
