"""A customer's limits move between failure domains on demand."""

import json
import os
import unittest

import checker
import cluster

BUILD = os.environ["CUMINROAD_BUILD"]
CONTRACT_LIMITS = dict(milli_cores=12000, memory_mb=24000, requests=8)


class ShareTest(unittest.TestCase):
    """Two domains, each of which starts with half of the contract's limits."""

    def test_job_larger_than_an_even_part_runs(self):
        with cluster.Cluster(BUILD) as test_cluster:
            test_cluster.create_contract("refuge", **CONTRACT_LIMITS)
            daemon = test_cluster.daemons_in_domain("d1")[0]
            job = dict(customer="refuge", kind="gang", tasks=10,
                       milli_cores=1000, memory_mb=1000, duration_ms=300)
            ids = []
            for _ in range(2):
                status, _, text = daemon.call("POST", "/v1/jobs", job)
                self.assertEqual(status, 202, text)
                ids.append(json.loads(text)["id"])
            # The other domain may claim back a part of what it released.
            other = test_cluster.daemons_in_domain("d2")[0]
            status, _, text = other.call(
                "POST", "/v1/jobs", dict(job, kind="batch", tasks=4))
            ids.append(json.loads(text)["id"])

            def finished():
                return all(json.loads(daemon.call(
                    "GET", "/v1/jobs/" + each)[2]).get("state") == "finished"
                           for each in ids)
            cluster.wait_until(finished, 30, "all jobs end")
            self.assertEqual([], checker.check_customer_limits(
                test_cluster.history(), {"refuge": CONTRACT_LIMITS}))

    def test_job_larger_than_the_contract_is_refused(self):
        with cluster.Cluster(BUILD) as test_cluster:
            test_cluster.create_contract("refuge", **CONTRACT_LIMITS)
            daemon = test_cluster.daemons_in_domain("d1")[0]
            status, _, text = daemon.call("POST", "/v1/jobs", dict(
                customer="refuge", kind="gang", tasks=13, milli_cores=1000,
                memory_mb=1000))
            self.assertEqual(status, 422)
            self.assertEqual(json.loads(text)["error"]["name"],
                             "quota_too_small")


if __name__ == "__main__":
    unittest.main()
