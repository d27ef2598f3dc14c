"""The ports that trials over processes take."""

import socket
import unittest

import cluster


class PortBlockTest(unittest.TestCase):
    def test_adjacent_ports_skip_ports_in_use(self):
        # Guards against daemons that can't bind the second port of their
        # range, since another test's server has it.
        block = cluster.PortBlock()
        self.addCleanup(block.close)
        first = block.allocate()
        with socket.socket() as server:
            server.bind(("127.0.0.1", first + 2))
            self.assertEqual(block.allocate_adjacent(),
                             (first + 3, first + 4))
