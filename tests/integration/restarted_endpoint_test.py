"""Endpoints that restart at their address: no two incarnations may accept a key with one token, whichever of them registers when."""
import time
import unittest

import gateway_test
from platform_standin import Endpoint
from processes import wait_until

REGISTRATION_DELAY_S = 1.5


class RestartedEndpointTest(unittest.TestCase):
    setUp = gateway_test.GatewayTest.setUp
    tearDown = gateway_test.GatewayTest.tearDown
    all_served = gateway_test.GatewayTest.all_served
    serves = gateway_test.GatewayTest.serves

    def restart(self, index, name, checks_orders):
        """Replaces an endpoint by a process that registers later. Returns the former and the new one."""
        former = self.endpoints[index]
        former.crash()
        successor = Endpoint(self.store, name, "desk", former.address, registered=False)
        successor.checks_orders = checks_orders
        self.endpoints[index] = successor
        time.sleep(REGISTRATION_DELAY_S)
        if name != former.name:
            former.unregister()
        successor.register("ready")
        return former, successor

    def assert_tokens_are_apart(self, former, successor):
        for first, last, token in successor.accepted:
            before = [each for each in former.accepted if each[0] <= last and first <= each[1]]
            highest = max((each[2] for each in before), default=0)
            self.assertGreater(token, highest, (former.name, successor.name, first, last))

    def check_restarts(self, name, checks_orders):
        for index in range(len(self.endpoints)):
            former, successor = self.restart(index, name or self.endpoints[index].name, checks_orders)
            wait_until("owners of all keys", self.all_served, 10)
            self.assert_tokens_are_apart(former, successor)

    def test_successor_keeps_the_id(self):
        """Guards against a renewal with the token of the predecessor when neither address nor id tells the processes apart."""
        self.check_restarts(None, True)

    def test_successor_has_another_id(self):
        """Guards against a renewal that reaches a process with another id, which rejects it."""
        self.check_restarts("desk-new", True)

    def test_successor_accepts_orders_for_others(self):
        """Guards against a token that a process accepts although the order names another one, because it does not read the name."""
        self.check_restarts("desk-new", False)


if __name__ == "__main__":
    unittest.main()
