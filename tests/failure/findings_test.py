"""Tests of the list of findings in recorded plays."""
import pathlib
import sys
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "tools"))

from findings import findings


class FindingsTest(unittest.TestCase):
    # Guards against hunts whose days miss a floor and pass, since they break no rule.
    def test_day_below_the_floor_of_a_class_is_a_finding(self):
        short = "0.19 of the worth owed to class quick was earned; the floor is 0.30"
        day = {"name": "trouble-2", "seed": 7, "rules": {}, "short": [short]}
        self.assertEqual(list(findings({"days": [day]})), [("trouble-2 (seed 7)", short)])

    def test_broken_rules_and_faults_are_findings(self):
        day = {"name": "a", "seed": 1, "rules": {"LOST": 2}, "fault": "exits"}
        self.assertEqual(list(findings({"days": [day]})), [("a (seed 1)", "LOST 2; fault exits")])

    def test_sound_day_is_no_finding(self):
        day = {"name": "a", "seed": 1, "rules": {}, "short": [], "fault": None}
        self.assertEqual(list(findings({"days": [day]})), [])
        self.assertEqual(list(findings({"days": None})), [])


if __name__ == "__main__":
    unittest.main()
