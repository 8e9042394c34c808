"""Instances that reach no endpoint, while callers, the store and the other instances reach them."""
import collections
import os
import re
import signal
import socket
import tempfile
import threading
import time
import unittest

from endpoint_paths import StoreView
from gateway_test import ROUTES, SERVICES, Gateway
from platform_standin import Endpoint, StoreServer, configuration
from processes import free_address, http, wait_until

# From this time after the beginning of a cut, an isolated instance has to serve its callers.
SETTLE_SECONDS = 3
CALLERS = 3
ROUTE_TIMEOUT_SECONDS = 2  # TimeoutMs in platform_standin.configuration


class IsolatedInstanceTest(unittest.TestCase):
    def setUp(self):
        self.directory = tempfile.mkdtemp()
        # Attempt ids of requests that must not run more than once.
        self.not_idempotent = []
        self.store_server = StoreServer(free_address())
        self.store = self.store_server.store
        self.store.put("keyed.op", "config", configuration(3, ROUTES, SERVICES))
        self.endpoints = [Endpoint(self.store, f"desk-{i}", "desk", free_address(), zone=f"z{i + 1}") for i in range(3)]
        self.endpoints += [Endpoint(self.store, f"ledger-{i}", "ledger", free_address(), zone=f"z{i + 1}", divided=False) for i in range(2)]
        # Each instance is the only one of its zone and thus reads the store itself, as its view shows it.
        names = ("i1", "i2", "i3")
        self.views = {name: StoreView(free_address(), self.store, self.endpoints) for name in names}
        self.gateways = {name: Gateway(self.directory, name, f"z{i + 1}", self.views[name]) for i, name in enumerate(names)}
        for gateway in self.gateways.values():
            wait_until("readiness", gateway.ready, 10)
        wait_until("service", lambda: all(self.serves(gateway) for gateway in self.gateways.values()), 10)
        wait_until("an assigner", self.assigner, 5)
        # The assigner itself is not cut here: what then becomes of the keys is not the subject of this test.
        self.others = [name for name in names if name != self.assigner()]

    def tearDown(self):
        for gateway in self.gateways.values():
            if gateway.process.running():
                os.kill(gateway.process.child.pid, signal.SIGKILL)
                gateway.process.child.wait(5)
        for listener in self.endpoints + [self.store_server] + list(self.views.values()):
            listener.close()

    def assigner(self):
        return next((name for name, gateway in self.gateways.items() if gateway.state()["ownership"]["leads"]), None)

    @staticmethod
    def serves(gateway):
        return all(gateway.call("/look/", key=key)[0] == 200 for key in (0, 30000, 65535))

    def call_all_kinds(self, gateway, count):
        """Makes requests of each kind and returns the answers of those that were not served, and the attempt ids of the others."""
        failed, served = [], []
        for i in range(count):
            prefix, method = (("/look/", "GET"), ("/book/", "POST"), ("/credit/", "POST"))[i % 3]
            status, _, text, attempt = gateway.call(prefix, method, key=i * 523 % 65536, body=b"1" if method == "POST" else None)
            if method == "POST":
                self.not_idempotent.append(attempt)
            if status == 200:
                served.append(attempt)
            else:
                failed.append((status, text))
        return failed, served

    def runs_of(self, attempts):
        """Number of runs of each attempt at all endpoints."""
        runs = collections.Counter(run[0] for endpoint in self.endpoints for run in endpoint.runs)
        return {attempt: runs[attempt] for attempt in attempts}

    def assert_served(self, name, count=60):
        failed, served = self.call_all_kinds(self.gateways[name], count)
        self.assertLessEqual(len(failed), count / 50, (name, failed))
        self.assertEqual([attempt for attempt, runs in self.runs_of(served).items() if runs != 1], [], "not run exactly once")
        self.assertEqual([attempt for attempt, runs in self.runs_of(self.not_idempotent).items() if runs > 1], [], "run more than once")

    def cut_and_check(self, names, how):
        for name in names:
            self.views[name].cut(how)
        started = time.monotonic()
        # Requests show the cut to the instance; what becomes of them until it has settled is not checked.
        while time.monotonic() - started < SETTLE_SECONDS:
            for name in names:
                try:
                    self.gateways[name].call("/look/", key=7)
                    self.not_idempotent.append(self.gateways[name].call("/book/", "POST", key=7, body=b"1")[3])
                except OSError:
                    pass
        for name in self.gateways:
            self.assert_served(name)

    def test_silence(self):
        """Guards against an instance that fails its callers while nothing passes between it and the endpoints."""
        self.cut_and_check(self.others[:1], "silent")

    def test_long_bodies_and_lost_callers(self):
        """Guards against bodies that are cut short on the way, and against endpoints that go on working for callers who are gone."""
        isolated = self.others[0]
        self.cut_and_check([isolated], "silent")
        body = os.urandom(1 << 16) * 48
        status, _, _, attempt = self.gateways[isolated].call("/book/", "POST", body=body)
        self.assertEqual(status, 200)
        self.assertEqual([run[3] == body for endpoint in self.endpoints for run in endpoint.runs if run[0] == attempt], [True])
        for endpoint in self.endpoints:
            endpoint.run_seconds = 1.5
        host, port = self.gateways[isolated].caller_address.split(":")
        with socket.create_connection((host, int(port))) as caller:
            caller.sendall(b"POST /book/x HTTP/1.1\r\nHost: site.example\r\nAttempt-Id: gone\r\nShard-Key: 7\r\nContent-Length: 0\r\n\r\n")
            wait_until("a run", lambda: any(run[0] == "gone" for endpoint in self.endpoints for run in endpoint.runs), 1)
        cancelled = re.compile(r"^sycamoretray_requests_cancelled_total 1$", re.MULTILINE)
        others = [gateway.internal_address for name, gateway in self.gateways.items() if name != isolated]
        wait_until("cancellation at the other instance", lambda: any(cancelled.search(http("GET", address, "/metrics")[2]) for address in others), 1)

    def test_reset_connections(self):
        """Guards against an instance that fails its callers while endpoints reset and refuse its connections."""
        self.cut_and_check(self.others[:1], "reset")

    def test_new_connections_are_refused(self):
        """Guards against an instance that fails requests which need a new connection while those that it has live on."""
        self.cut_and_check(self.others[:1], "refused")

    def test_most_instances_are_cut(self):
        """Guards against isolated instances that pass requests on to each other only, or back and forth."""
        self.cut_and_check(self.others, "silent")
        for name in self.others:
            self.views[name].restore()
        for name in self.others:
            wait_until("end of the isolation", lambda name=name: "instance_reaches_endpoints" in self.gateways[name].process.log(), 2)
        forwards = [self.gateways[name].process.log().count("event=request_forwarded") for name in self.others]
        for name in self.gateways:
            self.assert_served(name)
        self.assertEqual(forwards, [self.gateways[name].process.log().count("event=request_forwarded") for name in self.others])

    def test_readiness(self):
        """Guards against an isolated instance that goes on attracting callers, and one that stays out of rotation afterwards."""
        name = self.others[0]
        self.cut_and_check([name], "silent")
        self.assertEqual([self.gateways[each].ready() for each in sorted(self.gateways)], [each != name for each in sorted(self.gateways)])
        self.views[name].restore()
        wait_until("readiness", self.gateways[name].ready, 2)

    def test_stop_while_isolated(self):
        """Guards against an isolated instance that loses requests in a planned stop."""
        stopping = self.others[0]
        self.cut_and_check([stopping], "silent")
        gateway = self.gateways[stopping]
        os.kill(gateway.process.child.pid, signal.SIGTERM)
        end = time.monotonic() + 1.5
        while time.monotonic() < end:
            self.assertEqual(gateway.call("/book/", "POST", body=b"1")[0], 200)
        wait_until("end of the process", lambda: not gateway.process.running(), 7)
        self.assertEqual(gateway.process.child.returncode, 0)

    def test_lost_and_stopping_peers(self):
        """Guards against requests that are lost, or run twice, when the instance to which they were forwarded stops."""
        isolated, peer = self.others
        self.cut_and_check([isolated], "silent")
        answers = self.call_during(isolated, lambda: self.stop_and_wait(peer))
        self.assertGreater(len(answers), 100)
        self.assertEqual([status for status, _ in answers if status != 200], [])
        self.assert_true_answers(answers)

    def stop_and_wait(self, name):
        os.kill(self.gateways[name].process.child.pid, signal.SIGTERM)
        wait_until("end of the process", lambda: not self.gateways[name].process.running(), 7)

    def call_during(self, name, disturb):
        """Returns (status, attempt id) of the requests that CALLERS callers make one after another, from 0.5 s before `disturb` until it returns."""
        answers = []
        running = True

        def call_repeatedly():
            while running:
                status, _, _, attempt = self.gateways[name].call("/book/", "POST", key=len(answers) * 523 % 65536, body=b"1")
                answers.append((status, attempt))

        callers = [threading.Thread(target=call_repeatedly) for _ in range(CALLERS)]
        for caller in callers:
            caller.start()
        try:
            time.sleep(0.5)
            disturb()
        finally:
            running = False
            for caller in callers:
                caller.join()
        return answers

    def assert_true_answers(self, answers):
        """Checks that requests ran once if served, at most once if their outcome is unknown, and never if refused."""
        allowed = {200: (1,), 502: (0, 1), 504: (0, 1), 503: (0,)}
        runs = self.runs_of(attempt for _, attempt in answers)
        self.assertEqual([(status, runs[attempt]) for status, attempt in answers if runs[attempt] not in allowed.get(status, ())], [])

    def forwards_to(self, name, peer):
        return self.gateways[name].process.log().count(f"peer={self.gateways[peer].internal_address}")

    def test_peers_with_an_older_configuration(self):
        """Guards against requests of new routes that are answered, and of changed ones that are run, by an instance with the routes of before."""
        isolated, peer = self.others
        for name in self.gateways:
            if name != isolated:
                self.views[name].configuration = configuration(3, ROUTES, SERVICES)
        # A new route, and one that moves to another service.
        routes = ROUTES[:2] + [("credit", "/credit/", "desk", "unsafe"), ("new", "/new/", "ledger", "safe")]
        self.store.put("keyed.op", "config", configuration(9, routes, SERVICES))
        wait_until("the new route", lambda: self.gateways[isolated].call("/new/")[0] == 200, 2)
        self.views[isolated].cut("silent")
        end = time.monotonic() + SETTLE_SECONDS
        while time.monotonic() < end:
            self.gateways[isolated].call("/new/")
        for prefix in ("/new/", "/credit/") * 10:
            status, _, _, attempt = self.gateways[isolated].call(prefix)
            self.assertEqual((status, self.runs_of([attempt])), (503, {attempt: 0}), prefix)
        self.views[peer].configuration = None
        self.store.put("keyed.op", "config", configuration(10, routes, SERVICES))
        wait_until("a peer with the new route", lambda: self.gateways[isolated].call("/new/")[0] == 200, 3)
        for prefix, service in (("/new/", "ledger"), ("/credit/", "desk")) * 10:
            status, _, text, _ = self.gateways[isolated].call(prefix)
            self.assertEqual((status, text.startswith("done by " + service)), (200, True), prefix)

    def test_killed_peer(self):
        """Guards against requests that run twice, or are answered wrongly, when the instance to which they were forwarded is killed."""
        isolated, peer = self.others
        self.cut_and_check([isolated], "silent")

        def kill():
            os.kill(self.gateways[peer].process.child.pid, signal.SIGKILL)
            self.gateways[peer].process.child.wait(5)
            time.sleep(1)

        answers = self.call_during(isolated, kill)
        self.assertGreater(self.forwards_to(isolated, peer), 0)
        self.assert_true_answers(answers)
        # Each caller has one request in progress.
        self.assertLessEqual(sum(status != 200 for status, _ in answers), CALLERS)

    def test_paused_peer(self):
        """Guards against requests that run twice, or are answered wrongly, and against one request after another that waits for an instance that does not run."""
        isolated, peer = self.others
        self.cut_and_check([isolated], "silent")
        process = self.gateways[peer].process.child.pid

        def pause():
            os.kill(process, signal.SIGSTOP)
            time.sleep(ROUTE_TIMEOUT_SECONDS + 1)
            os.kill(process, signal.SIGCONT)
            time.sleep(1)

        answers = self.call_during(isolated, pause)
        self.assertGreater(self.forwards_to(isolated, peer), 0)
        self.assert_true_answers(answers)
        failed = [status for status, _ in answers if status != 200]
        self.assertGreater(len(failed), 0, "no request was in progress at the paused instance")
        self.assertLessEqual(len(failed), CALLERS)


if __name__ == "__main__":
    unittest.main()
