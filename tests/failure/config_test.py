"""A contract change is accepted only once every serving daemon knows of it."""

import os
import unittest

import cluster
import relay

BUILD = os.environ["CUMINROAD_BUILD"]


class ConfigTest(unittest.TestCase):
    """One daemon loses its connection to the platform but keeps serving."""

    def test_change_waits_for_a_daemon_that_is_cut_off(self):
        network = relay.Network()
        with cluster.Cluster(BUILD, network=network) as test_cluster:
            response = test_cluster.create_contract("refuge", requests=20)
            terms = dict(response["contract"]["terms"], requests=2)
            isolated, connected = (test_cluster.daemons["d2-b"],
                                   test_cluster.daemons["d1-a"])
            network.cut(isolated.name, "platform")
            status, response = connected.operator_call(
                "PUT", "/v1/contracts/refuge",
                {"expected_version": 1, "terms": terms})
            self.assertEqual(status, 202, response)
            self.assertFalse(response["accepted"])
            self.assertEqual(response["waits_for"], [isolated.name])
            self.assertEqual(cluster.request(isolated, "refuge", body="{}")[0],
                             "done")
            # A daemon that knows of the pending change already applies the
            # stricter limit.
            contract = connected.operator_call("GET",
                                               "/v1/contracts/refuge")[1]
            self.assertEqual(contract["in_force"]["requests"], 2)
            self.assertEqual(contract["version"], 1)
            status, response = connected.operator_call(
                "PUT", "/v1/contracts/refuge",
                {"expected_version": 1, "terms": terms})
            self.assertEqual(response["error"]["name"], "change_pending")
            network.heal()
            for daemon in test_cluster.daemons.values():
                cluster.wait_until(
                    lambda: daemon.operator_call(
                        "GET", "/v1/contracts/refuge")[1]["version"] == 2,
                    16, daemon.name + " applies the change")


if __name__ == "__main__":
    unittest.main()
