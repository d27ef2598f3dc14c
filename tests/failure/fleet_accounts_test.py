"""Two client accounts whose keys come and go during the load, under faults."""

import shutil
import time
import unittest

import cluster
import fleet_accounts
import fleet_faults
import fleet_trial

# A key is added, used, removed, and probed after its removal.
SECONDS = 24


def cut_daemon_off(trial, seconds):
    """Cuts a daemon from the store and from all other daemons."""
    daemon = fleet_faults.random_daemon(trial)
    others = [other for other in trial.daemons if other is not daemon]
    fleet_faults.cut_links(
        trial, [(daemon.name, "store")] +
        [(daemon.name, other.name) for other in others] +
        [(other.name, daemon.name) for other in others], seconds)


def refuse_daemon(trial, seconds):
    """The store refuses a daemon's own calls; others relay them."""
    with trial.store.refusing(fleet_faults.random_daemon(trial).name):
        time.sleep(seconds)


class FleetAccountsTest(unittest.TestCase):
    def run_faults(self, seed, *faults):
        trial = fleet_trial.Trial(seed, accounts=("a", "b"))
        trial.run([(1, lambda trial, s: trial.accounts.rotate(s), SECONDS - 1),
                   (0, lambda trial, s: trial.accounts.probe(s), SECONDS),
                   *faults], SECONDS)
        print(trial.summary(), trial.accounts.probes, flush=True)
        # Fewer would leave the checks without evidence.
        for kind in ("unknown key", "removed key", "added key", "foreign job"):
            self.assertGreater(trial.accounts.probes.get(kind, 0), 5, kind)
        self.assertGreater(sum(call["state"] == "completed"
                               for call in trial.load.calls), 10)

    def test_keys_change(self):
        # Guards against a key that works although it was never in the
        # contracts or was removed, one that doesn't although it is in them,
        # and jobs that other accounts learn of.
        self.run_faults(21, (6, fleet_faults.kill_daemon, 1),
                        (12, fleet_faults.roll_daemons, 3))

    def test_keys_change_while_daemons_are_cut_off(self):
        # Guards against the same at a daemon that knows of no change before
        # it ends, and at one that learns of changes only through others.
        self.run_faults(22, (0, cut_daemon_off, 18), (2, refuse_daemon, 14),
                        (19, fleet_faults.store_slow, 3))

    def test_invalid_accounts_are_passed_over(self):
        # Guards against a part of an invalid account list that comes into
        # force, keys that stop working by it, and a key in the log.
        trial = fleet_trial.Trial(23, accounts=("a", "b"))
        try:
            trial.start_all()
            header = trial.accounts.header("a")
            valid = trial.accounts.tenants
            trial.accounts.tenants = lambda: (
                valid()[1:] + [{"name": "", "api_keys": ["key-new"]}])
            trial.write_config()
            time.sleep(fleet_accounts.CONFIG_APPLY_MS / 1e3)
            for daemon in trial.daemons:
                for key, expected in ((header, 200), (
                        trial.accounts.header(None, "key-new"), 401)):
                    status, _, _ = cluster.call(
                        daemon.frontend_port, "GET", trial.queues["urgent"][
                            "path_prefix"], None, {"Host": "h", **key})
                    self.assertEqual(status, expected, daemon.name)
                with open(trial.path(daemon, "log")) as log:
                    text = log.read()
                self.assertIn("tenants: name", text)
                self.assertNotIn("key-", text)
        finally:
            trial.close()
        shutil.rmtree(trial.directory)


if __name__ == "__main__":
    unittest.main()
