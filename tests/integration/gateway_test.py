"""The gateway on the platform: a store, endpoints that are granted keys, and three instances in two availability zones."""
import json
import os
import signal
import tempfile
import threading
import time
import unittest
import uuid

from platform_standin import Endpoint, StoreServer, configuration
from processes import Process, free_address, get_json, http, wait_until

BUILD = os.environ.get("SYCAMORETRAY_BUILD", "build")
PROGRAM = os.path.join(BUILD, "apps", "sycamoretrayd", "sycamoretrayd")
ROUTES = [("lookup", "/look/", "desk", "safe"), ("booking", "/book/", "desk", "unsafe"), ("credit", "/credit/", "ledger", "unsafe")]
DRAIN_TIMEOUT_S = 2
SERVICES = [("desk", True), ("ledger", False)]


class Gateway:
    def __init__(self, directory, name, zone, store):
        self.caller_address, self.readiness_address, self.internal_address = free_address(), free_address(), free_address()
        path = os.path.join(directory, f"{name}.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump({"instance": name, "availability_zone": zone, "caller_address": self.caller_address, "readiness_address": self.readiness_address,
                       "internal_address": self.internal_address, "store_address": store.address, "stop_limit_s": 6}, file)
        self.process = Process(name, [PROGRAM, "gateway", f"--settings={path}"], directory)

    def ready(self):
        return http("GET", self.readiness_address, "/api/readiness")[0] == 200

    def call(self, prefix, method="GET", key=7, body=None):
        attempt = uuid.uuid4().hex
        fields = {"Host": "site.example", "Attempt-Id": attempt, "Deadline-Remaining-Ms": "3000", "Shard-Key": str(key)}
        status, reply, text = http(method, self.caller_address, prefix + "x", body, fields)
        return status, reply, text, attempt

    def state(self):
        return get_json(self.internal_address, "/state")


class GatewayTest(unittest.TestCase):
    def setUp(self):
        self.directory = tempfile.mkdtemp()
        self.store_server = StoreServer(free_address())
        self.store = self.store_server.store
        self.store.put("keyed.op", "config", configuration(3, ROUTES, SERVICES))
        self.endpoints = [Endpoint(self.store, f"desk-{i}", "desk", free_address()) for i in range(3)]
        self.credit_endpoints = [Endpoint(self.store, f"ledger-{i}", "ledger", free_address(), divided=False) for i in range(2)]
        self.gateways = [Gateway(self.directory, name, zone, self.store_server) for name, zone in (("a1", "z1"), ("a2", "z1"), ("b1", "z2"))]
        for gateway in self.gateways:
            wait_until("readiness", gateway.ready, 10)
        wait_until("owners of all keys", self.all_served, 10)

    def tearDown(self):
        for gateway in self.gateways:
            if gateway.process.running():
                os.kill(gateway.process.child.pid, signal.SIGKILL)
                gateway.process.child.wait(5)
        for listener in self.endpoints + self.credit_endpoints + [self.store_server]:
            listener.close()

    def all_served(self):
        return sum(endpoint.held_count() for endpoint in self.endpoints) == 65536 and all(self.serves(gateway) for gateway in self.gateways)

    def serves(self, gateway):
        return all(gateway.call("/look/", key=key)[0] == 200 for key in (0, 30000, 65535))

    def assert_served_for(self, seconds):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            for gateway in self.gateways:
                for key in (1, 25000, 65000):
                    status, _, text, _ = gateway.call("/look/", key=key)
                    self.assertEqual(status, 200, text)

    def test_requests_of_each_kind(self):
        """Guards against requests or answers that are modified in transit, and against requests sent to an endpoint that does not hold the key."""
        for prefix, method, body in (("/look/", "GET", None), ("/book/", "POST", b"truck 5"), ("/credit/", "POST", b"12.50")):
            status, reply, text, attempt = self.gateways[0].call(prefix, method, 40000, body)
            self.assertEqual(status, 200)
            self.assertEqual(reply["Attempt-Id"], attempt)
            runner = next(endpoint for endpoint in self.endpoints + self.credit_endpoints if reply["Response-Signature"] == "proof-" + endpoint.name)
            self.assertEqual(text, "done by " + runner.name)
            self.assertIn((attempt, method, prefix + "x", body or b""), runner.runs)
        self.assertEqual(self.gateways[1].call("/nowhere/")[0], 404)

    def test_configuration_takes_effect_everywhere(self):
        """Guards against a configuration that reaches some instances late, including those that receive it through the relay of their zone."""
        self.store.put("keyed.op", "config", configuration(9, ROUTES + [("new", "/new/", "ledger", "safe")], SERVICES))
        for gateway in self.gateways:
            wait_until("the new route", lambda gateway=gateway: gateway.call("/new/")[0] == 200, 2)

    def test_leaving_endpoint_hands_its_keys_over(self):
        """Guards against unserved keys, a missing handover and requests sent to an endpoint after it was drained."""
        leaving = self.endpoints[0]
        leaving.register("draining")
        wait_until("move of the keys", lambda: leaving.held_count() == 0, 3)
        wait_until("owners of all keys", self.all_served, 3)
        self.assertIn("handover-of-" + leaving.name, [each for endpoint in self.endpoints[1:] for each in endpoint.handovers])
        runs = len(leaving.runs)
        self.assert_served_for(1)
        self.assertEqual(len(leaving.runs), runs)

    def assert_not_used_after_leaving(self, endpoint, prefix):
        """Calls all instances, and checks that each stops to use the endpoint in time once it has passed on an answer that says it leaves."""
        heard = {}
        end = time.monotonic() + 6
        endpoint.leaving = True
        while time.monotonic() < end:
            for gateway in self.gateways:
                for key in range(0, 65536, 8000):
                    sent = time.monotonic()
                    runs = len(endpoint.runs)
                    _, reply, text, _ = gateway.call(prefix, "GET", key)
                    if gateway in heard and sent > heard[gateway] + DRAIN_TIMEOUT_S:
                        self.assertEqual(len(endpoint.runs), runs, (gateway.process.name, text))
                    if reply.get("Server-Leaving") == "1":
                        heard.setdefault(gateway, time.monotonic())
        self.assertGreater(len(heard), 0)

    def test_endpoint_says_that_it_leaves(self):
        """Guards against requests to an endpoint that announced in an answer that it is leaving, which the directory calls ready, with and without the store."""
        self.assert_not_used_after_leaving(self.credit_endpoints[0], "/credit/")
        self.assert_not_used_after_leaving(self.endpoints[0], "/look/")
        self.assertEqual(self.endpoints[0].held_count(), 0)
        wait_until("owners of all keys", self.all_served, 3)
        metrics = [http("GET", gateway.internal_address, "/metrics")[2] for gateway in self.gateways]
        self.assertTrue(any('sycamoretray_endpoints_leaving_total{source="answer"}' in text for text in metrics))
        self.store.down = True
        with self.store.changed:
            self.store.changed.notify_all()
        time.sleep(0.5)
        self.assert_not_used_after_leaving(self.endpoints[1], "/look/")

    def test_endpoint_that_left_starts_again(self):
        """Guards against a restarted endpoint that is not used because its predecessor, with the same id and address, left."""
        left = self.credit_endpoints[0]
        left.leaving = True
        self.assert_not_used_after_leaving(left, "/credit/")
        left.close()
        started = Endpoint(self.store, left.name, left.service, left.address, divided=False)
        self.credit_endpoints[0] = started
        wait_until("use of the restarted endpoint", lambda: self.gateways[0].call("/credit/")[0] == 200 and started.runs, 5)

    def test_store_outage_interrupts_nothing(self):
        """Guards against grants that expire and configurations that are lost while the store is unavailable."""
        self.store.down = True
        with self.store.changed:
            self.store.changed.notify_all()
        self.assert_served_for(5)
        self.store.down = False
        self.store.put("keyed.op", "config", configuration(9, ROUTES + [("new", "/new/", "ledger", "safe")], SERVICES))
        for gateway in self.gateways:
            wait_until("the new route", lambda gateway=gateway: gateway.call("/new/")[0] == 200, 5)

    def test_lost_endpoint_is_replaced(self):
        """Guards against keys of a lost endpoint that stay unserved."""
        lost = self.endpoints.pop(1)
        lost.close()
        lost.unregister()
        started = time.monotonic()
        wait_until("owners of all keys", self.all_served, 8)
        print("served again after", round(time.monotonic() - started, 2), "s")

    def test_lost_reply_of_an_append(self):
        """Guards against an assigner that stops, or appends a decision twice, when the reply to a successful append is lost."""
        self.store.lose_append_replies = 3
        self.endpoints[2].register("draining")
        wait_until("move of the keys", lambda: self.endpoints[2].held_count() == 0, 4)
        wait_until("owners of all keys", self.all_served, 4)

    def test_killed_assigner_is_replaced(self):
        """Guards against unserved keys while the instance that assigns them is killed and restarted."""
        assigner = next(gateway for gateway in self.gateways if gateway.state()["ownership"]["leads"])
        os.kill(assigner.process.child.pid, signal.SIGKILL)
        assigner.process.child.wait(5)
        self.gateways.remove(assigner)
        self.assert_served_for(4)
        assigner.process.start()
        self.gateways.append(assigner)
        wait_until("readiness", assigner.ready, 10)
        self.assert_served_for(0.5)

    def test_stop_finishes_requests(self):
        """Guards against requests that a planned stop aborts, and against a process that does not exit."""
        stopping = self.gateways.pop(0)
        os.kill(stopping.process.child.pid, signal.SIGTERM)
        wait_until("end of readiness", lambda: not stopping.ready(), 2)
        self.assertEqual(stopping.call("/look/")[0], 200)
        wait_until("end of the process", lambda: not stopping.process.running(), 7)
        self.assertEqual(stopping.process.child.returncode, 0)
        self.assert_served_for(1)

    def test_compacted_topics(self):
        """Guards against instances that miss a change whose record was deleted by compaction before they read it."""
        with self.store.changed:
            for topic in self.store.topics.values():
                topic.compact()
        self.store.put("keyed.op", "config", configuration(9, ROUTES + [("new", "/new/", "ledger", "safe")], SERVICES))
        with self.store.changed:
            self.store.topic("keyed.op").compact()
        for gateway in self.gateways:
            wait_until("the new route", lambda gateway=gateway: gateway.call("/new/")[0] == 200, 5)

    def test_restored_store(self):
        """Guards against instances that miss a configuration, and records that are not written again, after the store returned from a copy."""
        contents = self.store.copy(without=["keyed.ownership"])
        for version in range(4, 9):
            self.store.put("keyed.op", "config", configuration(version, ROUTES, SERVICES))
        self.assert_served_for(1)
        self.store.down = True
        with self.store.changed:
            self.store.changed.notify_all()
        time.sleep(1)
        self.store.restore(contents)
        self.store.down = False
        self.store.put("keyed.op", "config", configuration(9, ROUTES + [("new", "/new/", "ledger", "safe")], SERVICES))
        for gateway in self.gateways:
            wait_until("the new route", lambda gateway=gateway: gateway.call("/new/")[0] == 200, 3)
        own = {"relay/z1", "relay/z2", "instances/z1", "instances/z2", "desk"}
        wait_until("records of the system", lambda: own <= self.store.topic("keyed.ownership").latest.keys(), 5)
        wait_until("owners of all keys", self.all_served, 5)
        self.assert_served_for(1)

    def test_request_limit(self):
        """Guards against instances that together send more to an endpoint than the limit that it names, and against limits that stop all requests."""
        limit = 2
        for endpoint in self.endpoints:
            endpoint.request_limit = limit
            endpoint.arrivals.clear()
        started = time.monotonic()
        statuses = []

        def call_repeatedly(gateway, key):
            while time.monotonic() - started < 9:
                statuses.append(gateway.call("/look/", key=key)[0])
                time.sleep(0.1)

        callers = [threading.Thread(target=call_repeatedly, args=(gateway, key)) for gateway in self.gateways for key in range(0, 65536, 9000)]
        for caller in callers:
            caller.start()
        for caller in callers:
            caller.join()
        self.assertEqual(set(statuses), {200, 503})
        for endpoint in self.endpoints:
            # The limit has to hold from three seconds after it was named; the margin is half of the limit and five requests.
            times = [each for each in endpoint.arrivals if each >= started + 3]
            most = max((sum(1 for other in times if each <= other < each + 4) for each in times), default=0)
            self.assertLessEqual(most, 4 * 1.5 * limit + 5, endpoint.name)
        self.assertGreater(sum(1 for status in statuses if status == 200), 9 * limit)


if __name__ == "__main__":
    unittest.main()
