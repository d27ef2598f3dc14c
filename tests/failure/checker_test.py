"""The checker finds planted violations of each kind, and nothing else."""

import unittest

import checker

VMS = {"v": dict(milli_cores=2000, memory_mb=2000, accelerators=0, slots=1)}


def task(ev, t, job="d1.c.j", index=0, vm="v", **size):
    line = dict(ev=ev, t=t, job=job, index=index, vm=vm, milli_cores=1000,
                memory_mb=1000, accelerators=0)
    line.update(size)
    return line


def req(ev, t, mark="m", vm="v", ident="r1", customer="c"):
    return dict(ev=ev, t=t, mark=mark, vm=vm, id=ident, customer=customer)


def made(mark="m", outcome="done", idempotent=False, body="b", answer="b"):
    return dict(mark=mark, outcome=outcome, idempotent=idempotent, body=body,
                answer=answer, daemon="d1-a")


GOOD_TASKS = [task("task_start", 1), task("task_end", 2)]
GOOD_REQUESTS = [req("request_start", 1), req("request_end", 2)]


class CheckerTest(unittest.TestCase):
    """Each check with a good history and with planted violations."""

    def test_vm_capacity(self):
        self.assertFalse(checker.check_vm_capacity(GOOD_TASKS, VMS))
        over = [task("task_start", n, index=n) for n in range(3)]
        self.assertTrue(checker.check_vm_capacity(over, VMS))
        gpu = [task("task_start", 1, accelerators=1)]
        self.assertTrue(checker.check_vm_capacity(gpu, VMS))
        self.assertTrue(checker.check_vm_capacity(
            [req("request_over_slots", 1)], VMS))
        self.assertFalse(checker.check_vm_capacity(
            [req("request_over_slots", 1)], VMS, ("v",)))
        self.assertTrue(checker.check_vm_capacity(
            [req("request_start", 1), req("request_start", 2)], VMS, ("v",)))

    def test_one_place(self):
        self.assertFalse(checker.check_one_place(GOOD_TASKS * 2))
        self.assertTrue(checker.check_one_place(
            [task("task_start", 1), task("task_start", 2, vm="w")]))

    def test_answers(self):
        self.assertFalse(checker.check_answers([made()]))
        self.assertTrue(checker.check_answers([made(answer="other")]))
        self.assertTrue(checker.check_answers([made(body="bb", answer="b")]))

    def test_none_cut_off(self):
        self.assertFalse(checker.check_none_cut_off(
            [made(), made(outcome="refused")]))
        self.assertTrue(checker.check_none_cut_off([made(outcome="broken")]))

    def test_not_run(self):
        calls = [made(outcome="not_run")]
        self.assertFalse(checker.check_not_run([], calls))
        self.assertTrue(checker.check_not_run(GOOD_REQUESTS, calls))

    def test_at_most_once(self):
        twice = GOOD_REQUESTS + [req("request_start", 3, ident="r2")]
        self.assertFalse(checker.check_at_most_once(GOOD_REQUESTS, [made()]))
        self.assertFalse(checker.check_at_most_once(
            twice, [made(idempotent=True)]))
        self.assertTrue(checker.check_at_most_once(twice, [made()]))

    def test_done_ran(self):
        self.assertFalse(checker.check_done_ran(GOOD_REQUESTS, [made()]))
        self.assertTrue(checker.check_done_ran([], [made()]))

    def test_leaving(self):
        left = dict(ev="leaving", t=0, vm="v")
        in_time = req("request_refused_leaving", 4 * 10**9)
        self.assertFalse(checker.check_leaving([left, in_time]))
        for late in (req("request_refused_leaving", 6 * 10**9),
                     task("task_start", 6 * 10**9)):
            self.assertTrue(checker.check_leaving([left, late]))

    def test_customer_limits(self):
        limits = {"c": dict(milli_cores=1500, memory_mb=9000, requests=1)}
        self.assertFalse(checker.check_customer_limits(
            GOOD_TASKS + GOOD_REQUESTS, limits))
        self.assertTrue(checker.check_customer_limits(
            [task("task_start", 1), task("task_start", 2, index=1)], limits))
        self.assertTrue(checker.check_customer_limits(
            [req("request_start", 1), req("request_start", 2, ident="r2")],
            limits))

    def test_jobs(self):
        job = dict(id="d1.c.j", tasks=1, restartable=True)
        once = dict(job, restartable=False)
        again = GOOD_TASKS + [task("task_start", 3), task("task_end", 4)]
        self.assertFalse(checker.check_jobs_kept(GOOD_TASKS, [job]))
        self.assertTrue(checker.check_jobs_kept([], [job]))
        self.assertFalse(checker.check_tasks_once(GOOD_TASKS, [once]))
        self.assertTrue(checker.check_tasks_once(again, [once]))
        self.assertFalse(checker.check_ended_once(GOOD_TASKS))
        self.assertTrue(checker.check_ended_once(again))
        self.assertFalse(checker.check_ended_once(again, ("v",)))
        self.assertTrue(checker.check_ended_once(again, ("w",)))

    def test_versions(self):
        def seen(t, version):
            return dict(t=t, daemon="d", customer="c", version=version)
        accepted = [dict(t=10, customer="c", version=2)]
        good = [seen(1, 1), seen(11, 1), seen(16, 2)]
        self.assertFalse(checker.check_versions(good, accepted, 5))
        self.assertTrue(checker.check_versions(
            [seen(1, 2), seen(2, 1)], [], 5))
        self.assertTrue(checker.check_versions([seen(16, 1)], accepted, 5))
        self.assertTrue(checker.check_versions([], accepted * 2, 5))


if __name__ == "__main__":
    unittest.main()
