"""Parts that the scripts of cases 6 to 10 share: a record, an endpoint on a plain socket, and instances as the deploy file starts them."""
import json
import os
import socket
import sys
import threading
import time
import uuid

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
sys.path.insert(0, os.path.join(ROOT, "tests", "integration"))

from platform_standin import configuration  # noqa: E402
from processes import Process, free_address  # noqa: E402

PROGRAM = os.path.join(ROOT, "target", "apps", "sycamoretrayd", "sycamoretrayd")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Writes what happens to record.txt and standard output."""

    def __init__(self, directory):
        self.file = open(os.path.join(directory, "record.txt"), "w", encoding="utf-8")
        self.lock = threading.Lock()
        self.start = time.monotonic()

    def write(self, text):
        with self.lock:
            line = f"{time.monotonic() - self.start:7.2f} s  {text}"
            print(line, flush=True)
            self.file.write(line + "\n")
            self.file.flush()


def split(address):
    host, port = address.split(":")
    return host, int(port)


class PlainEndpoint:
    """
    An endpoint of a service that is not divided by key. Serves each connection in a thread and passes each request to answer(), which a
    case overrides.
    """

    def __init__(self, store, name, service, record, slots=4):
        self.name, self.record, self.slots = name, record, slots
        # Attempt ids of the requests on which work has begun.
        self.runs = []
        self.address = free_address()
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(split(self.address))
        self.listener.listen(64)
        threading.Thread(target=self.accept, daemon=True).start()
        store.put("keyed.servers", name, {"Service": service, "Address": self.address, "Zone": "z1", "Version": "v1", "Slots": slots, "State": "ready",
                                          "ColdRemainingMs": 0, "Sequence": 1, "born": int(time.time() * 1000)})

    def accept(self):
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, connection):
        data = b""
        try:
            with connection:
                while True:
                    while b"\r\n\r\n" not in data:
                        piece = connection.recv(4096)
                        if not piece:
                            return
                        data += piece
                    head, _, data = data.partition(b"\r\n\r\n")
                    lines = head.decode().split("\r\n")
                    method, path, _ = lines[0].split(" ")
                    fields = {name.lower(): value for name, value in (line.split(": ", 1) for line in lines[1:])}
                    if path == "/health":
                        connection.sendall(f"HTTP/1.1 200 OK\r\nInstance-Id: {self.name}\r\nContent-Length: 0\r\n\r\n".encode())
                        continue
                    self.runs.append(fields.get("attempt-id", ""))
                    data = self.answer(connection, method, path, fields, data)
        except OSError as error:
            self.record.write(f"{self.name}: a connection ended with {error!r}")

    def read_body(self, connection, fields, data):
        """Returns the body and what follows it. Raises ConnectionError if the connection ends first."""
        length = int(fields.get("content-length", 0))
        while len(data) < length:
            piece = connection.recv(65536)
            if not piece:
                raise ConnectionError(f"end of the connection after {len(data)} of {length} bytes of a body")
            data += piece
        return data[:length], data[length:]

    def head(self, attempt, length):
        """Returns the head of a successful response."""
        return (f"HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nInstance-Id: {self.name}\r\nResponse-Signature: proof-{self.name}\r\n"
                f"Instance-Load: 0,0,{self.slots}\r\nContent-Length: {length}\r\n\r\n").encode()

    def answer(self, connection, method, path, fields, data):
        """Answers one request. Returns the bytes that follow it."""
        _, rest = self.read_body(connection, fields, data)
        connection.sendall(self.head(fields["attempt-id"], 4) + b"done")
        return rest

    def close(self):
        self.listener.close()


class Instance:
    """A process as on the users' machines: the command of the deploy file, with a settings file named by SYCAMORETRAY_CONFIG."""

    def __init__(self, directory, name, zone, store_address, **settings):
        self.name = name
        self.caller_address, self.readiness_address, self.internal_address = free_address(), free_address(), free_address()
        path = os.path.join(directory, f"{name}.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump({"instance": name, "availability_zone": zone, "caller_address": self.caller_address, "readiness_address": self.readiness_address,
                       "internal_address": self.internal_address, "store_address": store_address, **settings}, file)
        os.environ["SYCAMORETRAY_CONFIG"] = path
        self.process = Process(name, [PROGRAM, "gateway"], directory)


def site_configuration(routes, services, timeout_ms):
    """Returns the configuration of the project's stand-in with another time limit and latency objective for all routes."""
    result = configuration(3, routes, services)
    columns = result["Routes"]["Columns"]
    for row in result["Routes"]["Rows"]:
        row[columns.index("TimeoutMs")] = timeout_ms
        row[columns.index("TargetLatencyMs")] = timeout_ms
    return result


def request_head(method, path, deadline_ms, length=None, attempt=None):
    """Returns the attempt id and the head of a request."""
    attempt = attempt or uuid.uuid4().hex
    head = f"{method} {path} HTTP/1.1\r\nHost: site.example\r\nAttempt-Id: {attempt}\r\nDeadline-Remaining-Ms: {deadline_ms}\r\n"
    if length is not None:
        head += f"Content-Length: {length}\r\n"
    return attempt, (head + "\r\n").encode()


def call(address, method, path, body=b"", deadline_ms=3000, attempt=None):
    """Makes a request on a new connection. Returns the status line, or how the connection ended."""
    _, head = request_head(method, path, deadline_ms, len(body) if method != "GET" else None, attempt)
    try:
        with socket.create_connection(split(address), timeout=deadline_ms / 1000 + 1) as connection:
            connection.sendall(head + body)
            answer = b""
            while b"\r\n" not in answer:
                piece = connection.recv(4096)
                if not piece:
                    return "closed without an answer"
                answer += piece
    except OSError as error:
        return f"no answer: {error!r}"
    return answer.split(b"\r\n", 1)[0].decode()


def is_success(status_line):
    return status_line.startswith("HTTP/1.1 2")


def run_case(main):
    """Ends the program with the result of main(), or with 2 if the case could not run."""
    try:
        result = main()
    except (OSError, TimeoutError, RuntimeError) as failure:
        print(f"could not run: {failure!r}", flush=True)
        result = 2
    sys.exit(result)
