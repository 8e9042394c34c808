"""Permits, which the gateway uses only with enough instances: two availability zones of nine instances each."""
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
        self.gateways += [Gateway(self.directory, f"{zone}-{i}", zone, self.store_server) for zone, count in (("z1", 7), ("z2", 8)) for i in range(count)]
        for gateway in self.gateways:
            wait_until("readiness", gateway.ready, 10)
        wait_until("permits", lambda: self.granted_permits() > 0 or not self.serves(self.gateways[0]), 15)

    tearDown = gateway_test.GatewayTest.tearDown
    all_served = gateway_test.GatewayTest.all_served
    serves = gateway_test.GatewayTest.serves
    assert_served_for = gateway_test.GatewayTest.assert_served_for

    def granted_permits(self):
        total = 0
        for gateway in self.gateways:
            found = re.search(r"^sycamoretray_permits_granted_total (\d+)", http("GET", gateway.internal_address, "/metrics")[2], re.MULTILINE)
            total += int(found.group(1)) if found else 0
        return total

    def test_requests_are_sent_with_permits(self):
        """Every request needs a permit, at every instance, for services that are divided by key and for others."""
        before = self.granted_permits()
        for gateway in self.gateways:
            self.assertEqual(gateway.call("/look/", key=5)[0], 200)
            self.assertEqual(gateway.call("/credit/", "POST", body=b"1")[0], 200)
        self.assertGreaterEqual(self.granted_permits() - before, 2 * len(self.gateways))

    def test_killed_coordinators_are_replaced(self):
        """A request whose permit coordinator was killed is served with a permit of another instance."""
        for gateway in [self.gateways.pop(4) for _ in range(5)]:
            os.kill(gateway.process.child.pid, signal.SIGKILL)
            gateway.process.child.wait(5)
        self.assert_served_for(2)

    def test_stopped_coordinators_hand_over(self):
        """A planned stop of some instances causes no errors for callers of the others."""
        stopping = [self.gateways.pop(4) for _ in range(5)]
        for gateway in stopping:
            os.kill(gateway.process.child.pid, signal.SIGTERM)
        self.assert_served_for(3)
        wait_until("end of the processes", lambda: not any(gateway.process.running() for gateway in stopping), 8)

    def test_paused_coordinators_are_replaced(self):
        """Paused coordinators delay requests by less than half a second (the test allows 1 s), and cause no errors once they resume."""
        paused = [self.gateways.pop(4) for _ in range(3)]
        for gateway in paused:
            os.kill(gateway.process.child.pid, signal.SIGSTOP)
        try:
            for gateway in self.gateways:
                for key in range(0, 65536, 9000):
                    started = time.monotonic()
                    self.assertEqual(gateway.call("/look/", key=key)[0], 200)
                    self.assertLess(time.monotonic() - started, 1.0)
        finally:
            for gateway in paused:
                os.kill(gateway.process.child.pid, signal.SIGCONT)
        self.assert_served_for(1)
        self.gateways += paused


if __name__ == "__main__":
    unittest.main()
