"""Crowds of callers outside the operator's control at one gateway with the smallest memory and few descriptors.

Each test guards against a crowd that ends the process, exceeds its memory or its descriptors, or leaves it unable to serve. No times and no shares are
checked.
"""
import os
import shutil
import socket
import tempfile
import threading
import time
import unittest
import uuid

from gateway_test import PROGRAM
from platform_standin import Endpoint, StoreServer, configuration
from processes import Process, free_address, http, wait_until

MEMORY_MB = 64
DESCRIPTORS = 800
# Connections that callers may have: descriptors beyond 700.
CROWD = 90
READINESS_CROWD = 60
LARGE_ANSWER = b"a" * (100 * 1024)
PIECE = b"b" * (64 * 1024)
MAX_BODY = 64 * 1024 * 1024
ROUTES = [("large", "/large/", "ledger", "safe"), ("slow", "/slow/", "ledger", "safe"), ("credit", "/credit/", "ledger", "unsafe")]


class LedgerEndpoint(Endpoint):
    """Answers /large/ with 100 KB and /slow/ after a second."""

    def run(self, request, body):
        if request.path.startswith("/slow/"):
            time.sleep(1)
        content = LARGE_ANSWER if request.path.startswith("/large/") else b"done"
        request.reply(200, content, {"Attempt-Id": request.headers["Attempt-Id"], "Instance-Id": self.name, "Response-Signature": "proof-" + self.name,
                                     "Instance-Load": "0,0,2"})


class UsageSampler(threading.Thread):
    """Samples peak resident memory and open descriptors of a process until stop() is called or the process ends."""

    def __init__(self, pid):
        super().__init__(daemon=True)
        self.pid, self.peak_kb, self.most_descriptors = pid, 0, 0
        self.stopped = threading.Event()
        self.start()

    def sample(self):
        with open(f"/proc/{self.pid}/status", encoding="ascii") as status:
            peak = [line for line in status if line.startswith("VmHWM:")]
        self.peak_kb = max([self.peak_kb] + [int(line.split()[1]) for line in peak])
        self.most_descriptors = max(self.most_descriptors, len(os.listdir(f"/proc/{self.pid}/fd")))

    def run(self):
        try:
            while not self.stopped.wait(0.05):
                self.sample()
        except (FileNotFoundError, PermissionError, ProcessLookupError):
            # The process ended, which the test checks.
            pass

    def stop(self):
        self.stopped.set()
        self.join()


def request_head(method, path, fields=()):
    """Returns the start of a request without the empty line that ends its head."""
    lines = [f"{method} {path} HTTP/1.1", "Host: site.example", f"Attempt-Id: {uuid.uuid4().hex}", "Deadline-Remaining-Ms: 3000", "Shard-Key: 7"]
    return "\r\n".join(lines + list(fields)).encode() + b"\r\n"


def send_pieces(connection, pieces):
    """Sends pieces until the gateway closes the connection or does not read for a second."""
    connection.settimeout(1)
    try:
        for piece in pieces:
            connection.sendall(piece)
    except OSError:
        # Such callers may be refused or disconnected at any time.
        pass


class UntrustedCallersTest(unittest.TestCase):
    def setUp(self):
        self.directory = tempfile.mkdtemp(prefix="sycamoretray-test-")
        self.addCleanup(shutil.rmtree, self.directory, ignore_errors=True)
        self.store_server = StoreServer(free_address())
        self.addCleanup(self.store_server.close)
        self.store_server.store.put("keyed.op", "config", configuration(3, ROUTES, [("ledger", False)]))
        self.endpoints = [LedgerEndpoint(self.store_server.store, f"ledger-{i}", "ledger", free_address(), divided=False) for i in range(2)]
        for endpoint in self.endpoints:
            self.addCleanup(endpoint.close)
        self.caller_address, self.readiness_address = free_address(), free_address()
        self.process = self.start_gateway()
        self.addCleanup(self.process.kill)
        wait_until("an answer", self.is_served, 10)
        self.connections = []
        self.addCleanup(self.close_connections)
        self.usage = UsageSampler(self.process.child.pid)

    def start_gateway(self):
        path = os.path.join(self.directory, "a1.json")
        settings = (f'{{"instance": "a1", "availability_zone": "z1", "caller_address": "{self.caller_address}", '
                    f'"readiness_address": "{self.readiness_address}", "internal_address": "{free_address()}", '
                    f'"store_address": "{self.store_server.address}", "memory_mb": {MEMORY_MB}, "descriptors": {DESCRIPTORS}}}')
        with open(path, "w", encoding="utf-8") as file:
            file.write(settings)
        return Process("a1", [PROGRAM, "gateway", f"--settings={path}"], self.directory)

    def close_connections(self):
        for connection in self.connections:
            connection.close()

    def is_served(self):
        fields = {"Host": "site.example", "Attempt-Id": uuid.uuid4().hex, "Deadline-Remaining-Ms": "3000", "Shard-Key": "7"}
        return http("POST", self.caller_address, "/credit/x", b"12.50", fields)[0] == 200

    def connect(self, address):
        host, port = address.split(":")
        connection = socket.socket()
        self.connections.append(connection)
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        connection.settimeout(5)
        try:
            connection.connect((host, int(port)))
        except OSError:
            # A full accept queue may refuse further connections.
            pass
        return connection

    def crowd(self, count, pieces, address=None):
        """Opens connections at the same time, sends pieces() on each and leaves it open without reading."""
        callers = [threading.Thread(target=lambda: send_pieces(self.connect(address or self.caller_address), pieces()), daemon=True) for _ in range(count)]
        for caller in callers:
            caller.start()
        for caller in callers:
            caller.join()

    def check(self):
        """Checks the bounds while the connections of the crowd are open, and that an ordinary request is answered."""
        self.assertTrue(self.process.running(), "the process ended")
        wait_until("an answer to an ordinary request", self.is_served, 30)
        self.usage.stop()
        print(f"{self.id()}: peak {self.usage.peak_kb} KB, {self.usage.most_descriptors} descriptors")
        self.assertTrue(self.process.running(), "the process ended")
        self.assertGreater(self.usage.peak_kb, 0)
        self.assertLessEqual(self.usage.peak_kb, MEMORY_MB * 1024)
        self.assertLessEqual(self.usage.most_descriptors, DESCRIPTORS)

    def test_answers_not_read(self):
        """Guards against answers that pile up behind a caller that sends requests and reads nothing."""
        self.crowd(30, lambda: (request_head("GET", "/large/x") + b"\r\n" for _ in range(100)))
        time.sleep(5)
        self.check()

    def unfinished(self, path, size, piece=PIECE):
        """Yields a request whose body stops one byte short."""
        yield request_head("POST", path, [f"Content-Length: {size}"]) + b"\r\n"
        left = size - 1
        while left > 0:
            yield piece[:left]
            left -= min(left, len(piece))

    def unfinished_chunks(self, path, size, chunk):
        """Yields a chunked request without its last byte."""
        yield request_head("POST", path, ["Transfer-Encoding: chunked"]) + b"\r\n"
        coded = b"%x\r\n" % len(chunk) + chunk + b"\r\n"
        repeated = max(1, len(PIECE) // len(coded))
        for _ in range(size // (repeated * len(chunk))):
            yield coded * repeated
        yield b"0\r\n\r"

    def check_unfinished_bodies(self, path, address=None, count=CROWD):
        self.crowd(count // 3, lambda: self.unfinished(path, 8 * 1024 * 1024), address)
        self.crowd(count // 3, lambda: self.unfinished(path, 512 * 1024, b"s" * 512), address)
        self.crowd(count // 3, lambda: self.unfinished_chunks(path, 2 * 1024 * 1024, b"c" * 100), address)
        self.check()

    def test_unfinished_bodies(self):
        """Guards against bodies of legal size that stop one byte short and together exceed the memory."""
        self.check_unfinished_bodies("/credit/x")

    def test_unfinished_bodies_without_route(self):
        """Guards against unfinished bodies on a path that would be refused anyway."""
        self.check_unfinished_bodies("/nowhere/x")

    def test_unfinished_bodies_for_readiness(self):
        """Guards against unfinished bodies on the readiness address, whose requests need no body."""
        self.check_unfinished_bodies("/api/readiness", self.readiness_address, READINESS_CROWD)
        self.assertEqual(http("GET", self.readiness_address, "/api/readiness")[0], 200)

    def test_body_of_largest_size(self):
        """Guards against one body within the limits that takes a multiple of its size."""
        self.crowd(2, lambda: self.unfinished("/credit/x", MAX_BODY))
        self.check()

    def test_bodies_over_the_limit(self):
        """Guards against bodies over the limit that are kept, with a length and chunked."""
        self.crowd(CROWD // 2, lambda: self.unfinished("/credit/x", 4 * MAX_BODY))
        self.crowd(CROWD // 10, lambda: self.unfinished_chunks("/credit/x", 2 * MAX_BODY, PIECE))
        self.check()

    def test_many_short_fields(self):
        """Guards against requests of legal size whose fields take a multiple of their bytes, and against those with too many fields."""
        legal = [f"{chr(97 + i % 26)}:" for i in range(90)]
        self.crowd(CROWD // 2, lambda: (request_head("GET", "/slow/x", legal) + b"\r\n" for _ in range(400)))
        self.crowd(CROWD // 2, lambda: [request_head("GET", "/slow/x", ["a:"] * 4000)])
        self.check()

    def test_slow_senders(self):
        """Guards against connections that are held by callers that send a few bytes at a time."""
        def slowly(parts):
            for part in parts:
                yield part
                time.sleep(0.05)
        head = request_head("POST", "/credit/x", ["Content-Length: 1000000"])
        self.crowd(CROWD // 2, lambda: slowly(head[i:i + 1] for i in range(60)))
        self.crowd(CROWD // 2, lambda: slowly([head + b"\r\n"] + [b"s" * 100] * 60))
        self.check()


if __name__ == "__main__":
    unittest.main()
