"""Faults of endpoints and instances that are known from similar systems, injected on real sockets. Each test is named after its fault."""
import contextlib
import http.client
import os
import signal
import socket
import threading
import time
import unittest
import uuid

import gateway_test
from gateway_test import Gateway
from platform_standin import Endpoint
from processes import free_address, wait_until

REQUEST_TIMEOUT_S = 2.0  # TimeoutMs of the routes in platform_standin.configuration()
TIMEOUT_TOLERANCE_S = 1.0


class FaultyEndpoint(Endpoint):
    """An endpoint whose `fault`, if set, is called with each request and writes the answer."""

    fault = None
    # If set, called with each request before its body is read.
    early_fault = None

    def handle(self, request, method):
        if self.early_fault is not None:
            self.early_fault(request)
        super().handle(request, method)

    def run(self, request, body):
        if self.fault is None:
            super().run(request, body)
            return
        self.runs.append((request.headers["Attempt-Id"], request.command, request.path, body))
        try:
            self.fault(request)
        except OSError:
            request.close_connection = True

    def response_head(self, request, *fields, attempt=None):
        identity = [f"Attempt-Id: {attempt or request.headers['Attempt-Id']}", f"Response-Signature: proof-{self.name}", "Instance-Load: 0,0,2"]
        return ("HTTP/1.1 200 OK\r\n" + "\r\n".join([*identity, *fields]) + "\r\n\r\n").encode()


class CopyingEndpoint(Endpoint):
    """An endpoint that holds keys and, on connections that it has answered on before, writes `copy` before it handles an order.

    `copied` is the path of these orders; each of them takes `order_time` seconds.
    """

    copy, copied, order_time = None, None, 0

    def __init__(self, *arguments, **options):
        self.answered_on = set()
        super().__init__(*arguments, **options)

    def handle(self, request, method):
        if request.path == self.copied:
            if request.connection in self.answered_on:
                request.wfile.write(self.copy)
                request.wfile.flush()
            time.sleep(self.order_time)
        self.answered_on.add(request.connection)
        super().handle(request, method)


def keys_held_twice(endpoints):
    """Returns a key that two endpoints hold at this moment, or None."""
    with contextlib.ExitStack() as locked:
        for endpoint in endpoints:
            locked.enter_context(endpoint.lock)
        return next((key for key in range(0, 65536, 64) if sum(endpoint.holds(key) for endpoint in endpoints) > 1), None)


def read_answer(stream):
    """Reads an answer with a length. Returns (status, body)."""
    status = int(stream.readline().split()[1])
    fields = http.client.parse_headers(stream)
    return status, stream.read(int(fields["Content-Length"]))


def resident_memory_mb(process):
    with open(f"/proc/{process.child.pid}/status", encoding="utf-8") as status:
        return int(next(line for line in status if line.startswith("VmRSS")).split()[1]) / 1024


class EndpointCase(unittest.TestCase):
    """The service that is not divided by key has a single endpoint, the faulty one, so that every request for the service meets the fault."""

    def setUp(self):
        gateway_test.GatewayTest.setUp(self)
        for endpoint in self.credit_endpoints:
            endpoint.unregister()
            endpoint.close()
        self.faulty = FaultyEndpoint(self.store, "ledger-f", "ledger", free_address(), divided=False)
        self.credit_endpoints = [self.faulty]
        wait_until("the faulty endpoint", lambda: self.gateways[0].call("/credit/", "POST", body=b"1")[0] == 200, 5)

    tearDown = gateway_test.GatewayTest.tearDown
    all_served = gateway_test.GatewayTest.all_served
    serves = gateway_test.GatewayTest.serves
    assert_served_for = gateway_test.GatewayTest.assert_served_for


class EndpointFaultsTest(EndpointCase):
    def test_duplicate_answer_arrives_late(self):
        """A duplicate answer must not be delivered as the answer to the next request on the connection."""

        def twice(request):
            answer = self.faulty.response_head(request, "Content-Length: 36") + str(uuid.uuid4()).encode()
            request.wfile.write(answer)
            request.wfile.flush()
            time.sleep(0.03)
            request.wfile.write(answer)

        self.faulty.fault = twice
        for _ in range(20):
            status, reply, _, attempt = self.gateways[0].call("/credit/", "POST", body=b"1")
            if status == 200:
                self.assertEqual(reply["Attempt-Id"], attempt)
            time.sleep(0.01)
        self.assertEqual(len({run[0] for run in self.faulty.runs}), len(self.faulty.runs))

    def refuse(self, request, attempt=None):
        """Returns a refusal of the request; the attempt "" leaves out the id."""
        identity = f"Attempt-Id: {attempt or request.headers['Attempt-Id']}\r\n" if attempt != "" else ""
        return f"HTTP/1.1 503 Service Unavailable\r\n{identity}Not-Executed: 1\r\nContent-Length: 0\r\n\r\n".encode()

    def assert_run_once_and_not_refused(self, outcome, executed, what):
        """Checks the outcome of a call that the endpoint ran."""
        status, _, text, attempt = outcome
        self.assertEqual(executed.count(attempt), 1, (what, status, text))
        self.assertNotIn(status, (408, 421, 429, 503), (what, text))

    def test_earlier_refusal_is_written_again(self):
        """Guards against a refusal of an earlier request that is taken for the answer to a request that runs."""
        moments = {
            # Delay of the copy after the first refusal (None: with the next request), and time for which the endpoint then runs the next request.
            "same segment": (0, 0.1),
            "between requests": (0.02, 0.1),
            "next request arrives": (None, 0.1),
            "body is being sent": (None, 0.1),
        }
        body = b"1" * 8000000
        for with_id in (True, False):
            for moment, (delay, run_time) in moments.items():
                executed, refused, used = [], {}, []

                def fault(request, with_id=with_id, moment=moment, delay=delay, run_time=run_time, executed=executed, refused=refused, used=used):
                    attempt = request.headers["Attempt-Id"]
                    earlier = refused.get(request.connection)
                    if request.path.startswith("/credit/refused/"):
                        answer = self.refuse(request)
                        refused[request.connection] = self.refuse(request, None if with_id else "")
                        request.wfile.write(answer + (refused[request.connection] if delay == 0 else b""))
                        request.wfile.flush()
                        if delay:
                            time.sleep(delay)
                            request.wfile.write(refused[request.connection])
                        return
                    executed.append(attempt)
                    used.append(request.connection)
                    if earlier and moment == "next request arrives":
                        request.wfile.write(earlier)
                        request.wfile.flush()
                    time.sleep(run_time)
                    request.wfile.write(self.faulty.response_head(request, "Content-Length: 4") + b"done")

                def early_fault(request, moment=moment, refused=refused):
                    if request.connection in refused and moment == "body is being sent" and request.path == "/credit/x":
                        request.wfile.write(refused[request.connection])
                        request.wfile.flush()
                        time.sleep(0.05)

                self.faulty.fault, self.faulty.early_fault = fault, early_fault
                for pause in (0, 0.02, 0.05):
                    self.gateways[0].call("/credit/refused/", "POST", body=b"1")
                    time.sleep(pause)
                    outcome = self.gateways[0].call("/credit/", "POST", body=body if moment == "body is being sent" else b"1")
                    self.assert_run_once_and_not_refused(outcome, executed, (with_id, moment, pause))
                    if with_id:
                        self.assertEqual(outcome[0], 200, (moment, pause))
                # Each of these connections then carried another request and a copy of its refusal, after which it must not be used.
                self.assertEqual(len(set(used)), len(used), (with_id, moment))

    def test_refusal_is_written_again_for_the_retry_of_the_same_request(self):
        """Guards against a copy of the refusal of a request that is taken for the answer to its retry, which has the same id and runs."""
        executed, refused = [], {}

        def fault(request):
            attempt = request.headers["Attempt-Id"]
            if attempt not in refused:
                refused[attempt] = request.connection
                request.wfile.write(self.refuse(request))
                return
            if refused[attempt] is request.connection:
                request.wfile.write(self.refuse(request))
                request.wfile.flush()
            executed.append(attempt)
            time.sleep(0.1)
            request.wfile.write(self.faulty.response_head(request, "Content-Length: 4") + b"done")

        self.faulty.fault = fault
        for _ in range(5):
            outcome = self.gateways[0].call("/credit/", "POST", body=b"1")
            self.assert_run_once_and_not_refused(outcome, executed, "retry")

    # Earlier answers of which an endpoint writes a copy: to a grant, and to requests, with and without the id of the request.
    COPIES = {
        "grant": b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
        "superseded grant": b"HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n",
        "request": b"HTTP/1.1 200 OK\r\nAttempt-Id: earlier\r\nResponse-Signature: s\r\nContent-Length: 0\r\n\r\n",
        "refused request": b"HTTP/1.1 429 Too Many Requests\r\nAttempt-Id: earlier\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
        "refusal without id": b"HTTP/1.1 429 Too Many Requests\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
    }

    def assert_no_key_held_twice_during_handover(self, copying):
        """Lets the endpoint hand its keys over, and checks that no other endpoint holds them before it has released them."""
        copying.register("draining")
        end = time.monotonic() + 6
        while copying.held_count() > 0:
            self.assertIsNone(keys_held_twice(self.endpoints), "held by two endpoints")
            self.assertLess(time.monotonic(), end, "the keys do not move")
        copying.unregister()
        wait_until("owners of all keys", self.all_served, 5)

    def copying_endpoint(self, name):
        """Adds an endpoint and waits until it holds keys and has answered requests for them."""
        copying = CopyingEndpoint(self.store, name, "desk", free_address())
        self.endpoints.append(copying)
        wait_until("keys of the endpoint", lambda: copying.held_count() > 0 and self.all_served(), 10)
        held = next(key for key in range(65536) if copying.holds(key))
        wait_until("an answer", lambda: self.gateways[0].call("/look/", key=held)[1]["Response-Signature"] == "proof-" + name, 5)
        return copying

    def test_earlier_answer_is_written_again_for_a_release(self):
        """Guards against keys that are granted to another endpoint while their holder is at work on them, as a copy was taken for its release."""
        for name, copy in self.COPIES.items():
            with self.subTest(name):
                copying = self.copying_endpoint("copying-" + name.replace(" ", "-"))
                copying.copy, copying.copied, copying.order_time = copy, "/api/release", 0.7
                self.assert_no_key_held_twice_during_handover(copying)

    def test_earlier_answer_is_written_again_for_a_grant(self):
        """Guards against keys with two holders, or without one, as a copy was taken for the answer to a grant."""
        for name, copy in self.COPIES.items():
            with self.subTest(name):
                copying = self.copying_endpoint("copying-" + name.replace(" ", "-"))
                copying.copy, copying.copied, copying.order_time = copy, "/api/grant", 0.05
                end = time.monotonic() + 2
                while time.monotonic() < end:
                    self.assertIsNone(keys_held_twice(self.endpoints), "held by two endpoints")
                wait_until("owners of all keys", self.all_served, 5)
                self.assert_no_key_held_twice_during_handover(copying)

    def test_truncated_answer(self):
        """A truncated answer must not be passed on as complete, nor answered with a status that says the request was not executed."""
        shapes = {
            "length": lambda request: self.faulty.response_head(request, "Content-Length: 100") + b"half",
            "chunked": lambda request: self.faulty.response_head(request, "Transfer-Encoding: chunked") + b"4\r\nhalf\r\n",
            "head": lambda request: self.faulty.response_head(request, "Content-Length: 4")[:60],
        }
        for name, shape in shapes.items():
            def broken(request, shape=shape):
                request.wfile.write(shape(request))
                request.wfile.flush()
                request.connection.shutdown(socket.SHUT_RDWR)
                request.close_connection = True

            self.faulty.fault = broken
            status, _, text, _ = self.gateways[0].call("/credit/", "POST", body=b"1")
            self.assertNotEqual(status, 200, (name, text))
            self.assertNotIn(status, (408, 421, 429, 503), name)

    def end_connection(self, request, reset):
        """Closes the connection of the request with a FIN or a reset."""
        request.close_connection = True
        if reset:
            # A reset discards what the peer has not read yet.
            time.sleep(0.02)
            request.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\x00\x00\x00\x00\x00\x00\x00")
            request.connection.close()
        else:
            request.connection.shutdown(socket.SHUT_RDWR)

    def cut_heads(self, request):
        """Yields (name, bytes) of the ends that the head of an answer can have, for each way to frame its body; the body never arrives."""
        for framing in ("Content-Length: 4", "Transfer-Encoding: chunked", "Connection: close"):
            head = self.faulty.response_head(request, framing)
            lines = head.split(b"\r\n")
            for count in range(1, len(lines) - 1):
                yield f"{framing}, {count} lines", b"\r\n".join(lines[:count]) + b"\r\n"
            yield f"{framing}, half of the empty line", head[:-1]
            yield f"{framing}, no body", head

    def test_answer_ends_within_its_head(self):
        """Guards against an answer with an empty body that is framed as complete, or that says 'not run', after an endpoint stopped in its head."""
        current = {}

        def broken(request):
            cuts = list(self.cut_heads(request))
            current["name"], cut = cuts[current["index"]]
            current["last"] = len(cuts) - 1
            request.wfile.write(cut)
            request.wfile.flush()
            self.end_connection(request, current["reset"])

        for method, reset in ((method, reset) for method in ("POST", "HEAD") for reset in (False, True)):
            current.update(index=0, reset=reset, last=1)
            while current["index"] <= current["last"]:
                self.faulty.fault = broken
                runs = len(self.faulty.runs)
                status, _, text, _ = self.gateways[0].call("/credit/", method, body=b"1" if method == "POST" else None)
                what = (current["name"], method, reset, text)
                self.assertEqual(len(self.faulty.runs), runs + 1, what)
                self.assertNotIn(status, (408, 421, 429, 503), what)
                # The answer to HEAD is complete with its head, however the body would be framed.
                if method != "HEAD" or not current["name"].endswith("no body"):
                    self.assertNotEqual(status, 200, what)
                # A good answer ends the delay that follows several failures.
                self.faulty.fault = None
                if status == 200:
                    time.sleep(0.1)  # The endpoint closes the connection after an answer to HEAD that is complete.
                self.assertEqual(self.gateways[0].call("/credit/", "POST", body=b"1")[0], 200)
                current["index"] += 1

    def test_answer_of_a_pipelined_request_ends_within_its_head(self):
        """Guards against an answer that is given to another pipelined request, or skipped, after the endpoint stopped in the head of one."""
        broken_targets = {"/credit/1", "/credit/3"}

        def fault(request):
            answer = self.faulty.response_head(request, "Content-Length: 9") + request.path.encode()
            if request.path in broken_targets:
                request.wfile.write(answer[:70])
                request.wfile.flush()
                self.end_connection(request, False)
                return
            request.wfile.write(answer)

        self.faulty.fault = fault
        host, port = self.gateways[0].caller_address.split(":")
        with socket.create_connection((host, int(port)), timeout=5) as connection:
            for i in range(5):
                connection.sendall(f"GET /credit/{i} HTTP/1.1\r\nHost: site.example\r\nAttempt-Id: pipelined-{i}\r\n\r\n".encode())
            stream = connection.makefile("rb")
            answers = [read_answer(stream) for _ in range(5)]
        for i, (status, body) in enumerate(answers):
            if f"/credit/{i}" in broken_targets:
                self.assertIn(status, (502, 504), i)
                self.assertIn(f"pipelined-{i}".encode(), body)
            else:
                self.assertEqual((status, body), (200, f"/credit/{i}".encode()))

    def test_reset_ends_an_answer_without_length(self):
        """An answer delimited by the end of its connection is complete only if the connection was closed, not reset."""

        def reset(request):
            request.wfile.write(self.faulty.response_head(request, "Connection: close") + b"half")
            request.wfile.flush()
            time.sleep(0.05)
            request.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\x00\x00\x00\x00\x00\x00\x00")
            request.connection.close()
            request.close_connection = True

        self.faulty.fault = reset
        status, _, text, _ = self.gateways[0].call("/credit/", "POST", body=b"1")
        self.assertNotEqual(status, 200, text)

    def test_endless_answer(self):
        """Guards against unbounded memory use, a request that outlasts its timeout, and other requests that are blocked meanwhile."""
        block = b"x" * 65536
        streams = {
            "head": lambda request: b"HTTP/1.1 200 OK\r\nField: ",
            "body": lambda request: self.faulty.response_head(request, "Connection: close"),
            "chunk": lambda request: self.faulty.response_head(request, "Transfer-Encoding: chunked") + b"5;ext=",
        }
        process = self.gateways[0].process
        for name, start in streams.items():
            def endless(request, start=start):
                request.wfile.write(start(request))
                end = time.monotonic() + 10
                while time.monotonic() < end:
                    request.wfile.write(block)
                request.close_connection = True

            self.faulty.fault = endless
            before = resident_memory_mb(process)
            outcomes = []

            def send_request():
                started = time.monotonic()
                status = self.gateways[0].call("/credit/", "POST", body=b"1")[0]
                outcomes.append((status, time.monotonic() - started))

            threads = [threading.Thread(target=send_request) for _ in range(12)]
            for thread in threads:
                thread.start()
            self.assertEqual(self.gateways[0].call("/look/", key=5)[0], 200, name)
            largest = before
            while any(thread.is_alive() for thread in threads):
                largest = max(largest, resident_memory_mb(process))
                time.sleep(0.01)
            # Received data may take a quarter of the default memory limit of 512 MB, i.e. 128 MB; socket buffers and copies come on top.
            self.assertLess(largest - before, 160, name)
            for status, taken in outcomes:
                self.assertNotEqual(status, 200, name)
                self.assertLess(taken, REQUEST_TIMEOUT_S + TIMEOUT_TOLERANCE_S, name)
            self.assertTrue(process.running(), name)

    def test_planned_stop_under_load(self):
        """Guards against requests that are accepted just before a planned stop and never answered."""
        stopping = self.gateways.pop(0)
        host, port = stopping.caller_address.split(":")
        unanswered, answered = [], []

        def send_requests():
            while True:
                connection = http.client.HTTPConnection(host, int(port), timeout=5)
                sent = False
                try:
                    connection.connect()
                    for _ in range(20):
                        sent = False
                        fields = {"Host": "site.example", "Attempt-Id": uuid.uuid4().hex, "Deadline-Remaining-Ms": "3000", "Shard-Key": "9"}
                        connection.request("GET", "/look/x", headers=fields)
                        sent = True
                        reply = connection.getresponse()
                        reply.read()
                        answered.append(reply.status)
                        if reply.getheader("Connection") == "close":
                            break
                except http.client.RemoteDisconnected:
                    # The instance closed the idle connection while the request was sent, so the request was not read.
                    pass
                except OSError as error:
                    if not sent:
                        return
                    unanswered.append(repr(error))
                finally:
                    connection.close()

        threads = [threading.Thread(target=send_requests) for _ in range(8)]
        for thread in threads:
            thread.start()
        time.sleep(0.5)
        os.kill(stopping.process.child.pid, signal.SIGTERM)
        for thread in threads:
            thread.join(10)
        self.assertEqual(unanswered, [])
        self.assertGreater(answered.count(200), 50)
        wait_until("end of the process", lambda: not stopping.process.running(), 8)
        self.assertEqual(stopping.process.child.returncode, 0)

    def test_restart_does_not_restore_departed_endpoint(self):
        """After all instances are killed and restarted, an endpoint that had left is not used again and its keys stay moved."""
        left = self.endpoints.pop(0)
        left.register("draining")
        wait_until("move of the keys", lambda: left.held_count() == 0, 5)
        left.unregister()
        for gateway in self.gateways:
            os.kill(gateway.process.child.pid, signal.SIGKILL)
            gateway.process.child.wait(5)
        runs = len(left.runs)
        for gateway in self.gateways:
            gateway.process.start()
        for gateway in self.gateways:
            wait_until("readiness", gateway.ready, 10)
        wait_until("owners of all keys", self.all_served, 15)
        self.assert_served_for(1)
        self.assertEqual(len(left.runs), runs)
        self.assertEqual(left.held_count(), 0)

    def test_paused_instance_finishes_its_request(self):
        """A request of an instance that is paused and resumed is neither run a second time nor abandoned."""

        def slow(request):
            time.sleep(1)
            request.wfile.write(self.faulty.response_head(request, "Content-Length: 4") + b"done")

        self.faulty.fault = slow
        runs = len(self.faulty.runs)
        results = []
        thread = threading.Thread(target=lambda: results.append(self.gateways[0].call("/credit/", "POST", body=b"1")[0]))
        thread.start()
        wait_until("the run", lambda: len(self.faulty.runs) > runs, 2)
        os.kill(self.gateways[0].process.child.pid, signal.SIGSTOP)
        time.sleep(1.5)
        os.kill(self.gateways[0].process.child.pid, signal.SIGCONT)
        thread.join(5)
        # The answer had arrived by the time the process resumed, which was before the request timeout.
        self.assertEqual(results, [200])
        self.assertEqual(len(self.faulty.runs), runs + 1)

    def test_malformed_messages_on_every_port(self):
        """Guards against a process that exits because of a malformed message."""
        gateway = self.gateways[0]
        malformed = [b"\x00\xff" * 500, b"GET / HTTP/9.9\r\n\r\n", b"POST / HTTP/1.1\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\n",
                     b"\r\n" * 2000, b"p\x9f\xff", b"l\xa1"]
        for address in (gateway.caller_address, gateway.readiness_address, gateway.internal_address):
            host, port = address.split(":")
            for data in malformed:
                with socket.create_connection((host, int(port)), timeout=2) as connection:
                    try:
                        connection.sendall(data)
                        connection.shutdown(socket.SHUT_WR)
                        connection.recv(1000)
                    except OSError:
                        pass
        host, port = gateway.internal_address.split(":")
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as datagrams:
            for data in [*malformed, b"", b"p", b"p\x82\x01\x02", b"l\x84"]:
                datagrams.sendto(data, (host, int(port)))
        with self.store.changed:
            for topic in ("keyed.servers", "keyed.op", "keyed.ownership"):
                for key, value in (("odd", b"\xff\xfe"), ("odd2", b"{}"), ("instances/z1", b"\x01"), ("relay/z9", b""), ("config2", b"[")):
                    self.store.topic(topic).append(key, value)
            self.store.changed.notify_all()
        os.kill(gateway.process.child.pid, signal.SIGHUP)
        self.assert_served_for(1.5)
        self.assertTrue(all(each.process.running() for each in self.gateways))


if __name__ == "__main__":
    unittest.main()
