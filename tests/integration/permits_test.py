"""Enough instances that requests are sent with permits: two availability zones of nine."""
import os
import re
import signal
import time
import unittest

import gateway_test
from gateway_test import Gateway
from processes import http, wait_until


class PermitsTest(unittest.TestCase):
    def setUp(self):
        gateway_test.GatewayTest.setUp(self)
        # Instances beyond the three of the base test.
        self.gateways += [Gateway(self.directory, f"{zone}-{i}", zone, self.server) for zone, count in (("z1", 7), ("z2", 8)) for i in range(count)]
        for gateway in self.gateways:
            wait_until("readiness", gateway.ready, 10)
        wait_until("permits", lambda: self.granted() > 0 or not self.serves(self.gateways[0]), 15)

    tearDown = gateway_test.GatewayTest.tearDown
    all_served = gateway_test.GatewayTest.all_served
    serves = gateway_test.GatewayTest.serves
    assert_served_for = gateway_test.GatewayTest.assert_served_for

    def granted(self):
        total = 0
        for gateway in self.gateways:
            found = re.search(r"^sycamoretray_permits_granted_total (\d+)", http("GET", gateway.internal, "/metrics")[2], re.MULTILINE)
            total += int(found.group(1)) if found else 0
        return total

    def test_requests_are_sent_with_permits(self):
        """Every request gets one, whichever instance took it and whether its service is divided by key or not."""
        before = self.granted()
        for gateway in self.gateways:
            self.assertEqual(gateway.call("/look/", key=5)[0], 200)
            self.assertEqual(gateway.call("/credit/", "POST", body=b"1")[0], 200)
        self.assertGreaterEqual(self.granted() - before, 2 * len(self.gateways))

    def test_killed_keepers_are_replaced(self):
        """Requests that ask a killed instance for a permit are served with one of another instance."""
        for gateway in [self.gateways.pop(4) for _ in range(5)]:
            os.kill(gateway.process.child.pid, signal.SIGKILL)
            gateway.process.child.wait(5)
        self.assert_served_for(2)

    def test_stopped_keepers_hand_over(self):
        """A planned stop of some instances is not noticed by callers of the others."""
        stopping = [self.gateways.pop(4) for _ in range(5)]
        for gateway in stopping:
            os.kill(gateway.process.child.pid, signal.SIGTERM)
        self.assert_served_for(3)
        wait_until("end of the processes", lambda: not any(gateway.process.running() for gateway in stopping), 8)

    def test_frozen_keepers_are_replaced(self):
        """Instances that stand still delay requests by less than half a second, and do no harm when they go on."""
        frozen = [self.gateways.pop(4) for _ in range(3)]
        for gateway in frozen:
            os.kill(gateway.process.child.pid, signal.SIGSTOP)
        try:
            for gateway in self.gateways:
                for key in range(0, 65536, 9000):
                    started = time.monotonic()
                    self.assertEqual(gateway.call("/look/", key=key)[0], 200)
                    self.assertLess(time.monotonic() - started, 1.0)
        finally:
            for gateway in frozen:
                os.kill(gateway.process.child.pid, signal.SIGCONT)
        self.assert_served_for(1)
        self.gateways += frozen


if __name__ == "__main__":
    unittest.main()
