"""A change is accepted only when no daemon that serves can miss it."""

import os
import unittest

import cluster
import relay

BUILD = os.environ["CUMINROAD_BUILD"]


class ConfigTest(unittest.TestCase):
    """One daemon is cut off from the platform, and goes on serving."""

    def test_change_waits_for_a_daemon_that_is_cut_off(self):
        network = relay.Network()
        with cluster.Cluster(BUILD, network=network) as running:
            answer = running.contract("refuge", requests=20)
            terms = dict(answer["contract"]["terms"], requests=2)
            far, near = running.daemons["d2-b"], running.daemons["d1-a"]
            network.cut(far.name, "platform")
            status, answer = near.operator(
                "PUT", "/v1/contracts/refuge",
                {"expected_version": 1, "terms": terms})
            self.assertEqual(status, 202, answer)
            self.assertFalse(answer["accepted"])
            self.assertEqual(answer["waits_for"], [far.name])
            self.assertEqual(cluster.request(far, "refuge", body="{}")[0],
                             "done")
            # Who knows of it applies the stricter limit already.
            in_force = near.operator("GET", "/v1/contracts/refuge")[1]
            self.assertEqual(in_force["in_force"]["requests"], 2)
            self.assertEqual(in_force["version"], 1)
            status, answer = near.operator(
                "PUT", "/v1/contracts/refuge",
                {"expected_version": 1, "terms": terms})
            self.assertEqual(answer["error"]["name"], "change_pending")
            network.heal()
            for daemon in running.daemons.values():
                cluster.wait_until(
                    lambda: daemon.operator(
                        "GET", "/v1/contracts/refuge")[1]["version"] == 2,
                    16, daemon.name + " applies the change")


if __name__ == "__main__":
    unittest.main()
