"""Planned stops of one instance: requests that arrive during the stop are finished, or refused before they run."""
import os
import signal
import socket
import threading
import time
import unittest

import endpoint_faults_test
from endpoint_faults_test import read_answer
from gateway_test import ROUTES, SERVICES
from platform_standin import configuration
from processes import wait_until

STOP_LIMIT_S = 6  # stop_limit_s in gateway_test.Gateway
ROUTE_TIMEOUT_MS = 4000


class PlannedStopTest(endpoint_faults_test.EndpointCase):
    """Requests go to a single endpoint, which notes (id, deadline in ms, time) of each request that it starts and runs it for `run_time` seconds."""

    def setUp(self):
        super().setUp()
        self.started, self.run_time = [], 0.05
        self.faulty.fault = self.run_slowly
        longer = configuration(4, ROUTES, SERVICES)
        timeout = longer["Routes"]["Columns"].index("TimeoutMs")
        for row in longer["Routes"]["Rows"]:
            row[timeout] = ROUTE_TIMEOUT_MS
        self.store.put("keyed.op", "config", longer)
        self.stopping = self.gateways[0]
        wait_until("the configuration", lambda: self.stopping.state()["gateway"]["config_version"] == 4, 5)

    def run_slowly(self, request):
        self.started.append((request.headers["Attempt-Id"], int(request.headers["Deadline-Remaining-Ms"]), time.monotonic()))
        time.sleep(self.run_time)
        request.wfile.write(self.faulty.response_head(request, "Content-Length: 4") + b"done")

    def connect(self):
        host, port = self.stopping.caller_address.split(":")
        connection = socket.create_connection((host, int(port)), timeout=10)
        self.addCleanup(connection.close)
        return connection

    def request(self, name, method="POST", body=b"1", deadline_ms=5000):
        fields = f"Host: site.example\r\nAttempt-Id: {name}\r\nDeadline-Remaining-Ms: {deadline_ms}\r\nContent-Length: {len(body)}\r\n"
        return f"{method} /credit/x HTTP/1.1\r\n{fields}\r\n".encode() + body

    def stop(self):
        self.stopped_at = time.monotonic()
        os.kill(self.stopping.process.child.pid, signal.SIGTERM)

    def sleep_until(self, seconds):
        """Waits until the given time after the signal."""
        time.sleep(max(0, self.stopped_at + seconds - time.monotonic()))

    def ids_started(self):
        return [each[0] for each in self.started]

    def assert_not_run_answer(self, connection, what):
        with connection.makefile("rb") as stream:
            head = stream.readline()
            self.assertIn(b" 503 ", head, what)
            fields = endpoint_faults_test.http.client.parse_headers(stream)
            self.assertGreater(float(fields["Retry-After"]), 0, what)
            self.assertEqual(fields["Connection"], "close", what)

    def test_request_that_completes_late_is_refused_before_it_runs(self):
        """Guards against requests whose bodies complete late in a stop, are passed on, and are cut off by the end of the process."""
        self.run_time = 2
        # The last one arrives while the process only waits for its answers to be read.
        times = {"late": 4.0, "later": 5.2, "last": STOP_LIMIT_S - 0.4}
        connections = {name: self.connect() for name in times}
        for name, connection in connections.items():
            connection.sendall(self.request(name, body=b"12345678")[:-1])
        self.stop()
        for name, when in times.items():
            self.sleep_until(when)
            connections[name].sendall(b"8")
            self.assert_not_run_answer(connections[name], name)
            self.assertLess(time.monotonic() - self.stopped_at, when + 0.3, name)
        self.assertEqual(self.ids_started(), [])
        wait_until("end of the process", lambda: not self.stopping.process.running(), 2)

    def test_request_that_can_be_finished_is_finished(self):
        """Guards against requests that are refused although there is time for them, also with a body that completes after other connections closed."""
        times = {"early": 0.3, "open": 2.0, "slow body": 3.0}
        connections = {name: self.connect() for name in times}
        for name, connection in connections.items():
            connection.sendall(self.request(name, body=b"12345678", deadline_ms=1500)[:-1])
        self.stop()
        for name, when in times.items():
            self.sleep_until(when)
            connections[name].sendall(b"8")
            with connections[name].makefile("rb") as stream:
                self.assertEqual(read_answer(stream), (200, b"done"), name)
        self.assertEqual(sorted(self.ids_started()), sorted(times))

    def test_pipelined_requests_are_all_answered(self):
        """Guards against pipelined requests that are passed on, but lose their answers as an earlier answer closes the connection."""
        self.run_time = 0.4
        connection = self.connect()
        self.stop()
        self.sleep_until(1.2)
        for i in range(4):
            connection.sendall(self.request(f"pipelined-{i}", "GET", b""))
        time.sleep(0.1)
        connection.sendall(self.request("pipelined-4", "GET", b""))
        answers = []
        with connection.makefile("rb") as stream:
            while stream.peek(1):
                answers.append(read_answer(stream))
        # Those behind the answer that closes the connection are not passed on.
        self.assertEqual(sorted(self.ids_started()), [f"pipelined-{i}" for i in range(len(answers))])
        self.assertEqual([status for status, _ in answers], [200] * len(answers))
        self.assertGreater(len(answers), 0)

    def test_request_at_an_endpoint_at_the_end_is_answered(self):
        """Guards against a request that ends without an answer, and against an endpoint that is given more time than is left."""
        self.run_time = 10
        connection = self.connect()
        self.stop()
        self.sleep_until(2)
        connection.sendall(self.request("long", deadline_ms=20000))
        with connection.makefile("rb") as stream:
            status, _ = read_answer(stream)
        self.assertIn(status, (502, 504))
        (_, deadline_ms, when), = self.started
        self.assertLess(when - self.stopped_at + deadline_ms / 1000, STOP_LIMIT_S)

    def test_callers_that_keep_their_connections_are_all_answered(self):
        """Guards against requests that are read, and end without an answer, on connections that callers use until the process is gone."""
        unanswered, served = [], []
        # The endpoint has time for all callers: eight requests take 0.4 s in its two slots, and the deadline is 1 s.
        self.run_time = 0.1

        def send_requests(number):
            count = 0
            while self.stopping.process.running():
                try:
                    connection = self.connect()
                    with connection.makefile("rb") as stream:
                        while True:
                            name, count = f"{number}-{count}", count + 1
                            connection.sendall(self.request(name, deadline_ms=1000))
                            sent_at = time.monotonic()
                            # Without an answer the request may be sent again only if it did not run.
                            try:
                                if read_answer(stream)[0] == 200:
                                    served.append((number, sent_at))
                            except (OSError, IndexError):
                                unanswered.append(name)
                                break
                except OSError:
                    time.sleep(0.02)

        threads = [threading.Thread(target=send_requests, args=(i,)) for i in range(8)]
        for thread in threads:
            thread.start()
        time.sleep(0.5)
        self.stop()
        for thread in threads:
            thread.join(10)
        self.assertEqual([name for name in unanswered if name in self.ids_started()], [])
        self.assertEqual(len(self.ids_started()), len(set(self.ids_started())), "run twice")
        # An instance that stops goes on serving until no new connections come.
        self.assertEqual({number for number, sent_at in served if sent_at > self.stopped_at}, set(range(8)))


if __name__ == "__main__":
    unittest.main()
