"""The ports that trials over processes take."""

import unittest

import cluster


class PortBlockTest(unittest.TestCase):
    def test_adjacent_ports_skip_ports_in_use(self):
        # Guards against daemons that can't bind the second port of their
        # range, since another test's server has it.
        block = cluster.PortBlock()
        self.addCleanup(block.close)
        block.allocate = iter((10, 12, 14, 15)).__next__
        self.assertEqual(block.allocate_adjacent(), (14, 15))
