"""Parts that the cases share: instances as the deploy file starts them, endpoints, callers on kept connections, and the record of a run."""
import http.client
import json
import os
import pathlib
import shlex
import shutil
import signal
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import uuid

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "tests" / "integration"))

from platform_standin import Endpoint, StoreServer, configuration  # noqa: E402
from processes import free_address, http as call_http, wait_until  # noqa: E402

BROKEN, HELD, COULD_NOT_RUN = 1, 0, 2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# The platform starts a process again that has ended.
RESTART_DELAY_S = 1.0
ROUTES = [("lookup", "/look/", "desk", "safe"), ("booking", "/book/", "desk", "unsafe"), ("credit", "/credit/", "ledger", "unsafe")]
SERVICES = [("desk", True), ("ledger", False)]


class Record:
    """Writes what was sent, answered and run, with the time since the start in seconds."""

    def __init__(self, directory):
        self.file = open(directory / "record.txt", "w", encoding="utf-8")
        self.lock = threading.Lock()
        self.started = time.monotonic()

    def now(self):
        return time.monotonic() - self.started

    def write(self, *words):
        with self.lock:
            self.file.write(f"{self.now():8.3f} " + " ".join(str(word) for word in words) + "\n")

    def close(self):
        with self.lock:
            self.file.close()


class Instance:
    """One instance, started with the command of the deploy file. It is started again when it ends by itself, as on the platform."""

    def __init__(self, record, directory, name, zone, store_address, front=None):
        self.record, self.name = record, name
        self.front, self.ready_address, self.internal = front or free_address(), free_address(), free_address()
        self.settings = os.path.join(directory, f"{name}.json")
        self.log_path = os.path.join(directory, f"{name}.log")
        with open(self.settings, "w", encoding="utf-8") as file:
            json.dump({"instance": name, "availability_zone": zone, "caller_address": self.front, "readiness_address": self.ready_address,
                       "internal_address": self.internal, "store_address": store_address, "processor_share": 0.2, "memory_mb": 260,
                       "descriptors": 4100, "drain_limit_s": 2.0, "stop_limit_s": 6, "longest_grant_s": 10.0, "retry_share": 0.2,
                       "retry_slack": 58, "retry_window_s": 10, "member_ttl_s": 1.0}, file)
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text(encoding="utf-8"))
        self.command = shlex.split(deploy["roles"]["gateway"]["run"])
        self.child = None
        self.ends = 0
        self.expected_end = False
        self.closing = False
        self.lock = threading.Lock()
        self.start()
        threading.Thread(target=self.watch, daemon=True).start()

    def start(self):
        with self.lock:
            if self.closing:
                return
            with open(self.log_path, "ab") as log:
                self.child = subprocess.Popen(self.command, cwd=ROOT, env={"PATH": os.environ["PATH"], "SYCAMORETRAY_CONFIG": self.settings},
                                              stdout=log, stderr=log, stdin=subprocess.DEVNULL)
        self.record.write("instance", self.name, "started")

    def watch(self):
        while not self.closing:
            child = self.child
            code = child.wait()
            if self.closing or child is not self.child:
                continue
            if not self.expected_end:
                self.ends += 1
                self.record.write("instance", self.name, "ended by itself, exit code", code, "last output:", self.last_line())
            self.expected_end = False
            time.sleep(RESTART_DELAY_S)
            self.start()

    def last_line(self):
        with open(self.log_path, encoding="utf-8", errors="replace") as log:
            lines = [line.strip() for line in log if line.strip()]
        return lines[-1] if lines else ""

    def log(self):
        with open(self.log_path, encoding="utf-8", errors="replace") as log:
            return log.read()

    def ready(self):
        return call_http("GET", self.ready_address, "/api/readiness", timeout=1.0)[0] == 200

    def state(self):
        return json.loads(call_http("GET", self.internal, "/state", timeout=2.0)[2])

    def signal(self, number):
        self.record.write("instance", self.name, "gets", signal.Signals(number).name)
        self.child.send_signal(number)

    def close(self):
        with self.lock:
            self.closing = True
            if self.child.poll() is None:
                self.child.kill()
            self.child.wait()


class SoundEndpoint(Endpoint):
    """Answers a release when the work on the keys has ended, and records each arrival and run."""

    def __init__(self, record, *arguments, **options):
        self.record = record
        self.working = {}
        self.idle = threading.Condition()
        self.arrived_ids = set()
        super().__init__(*arguments, **options)

    def run(self, request, body):
        attempt = request.headers["Attempt-Id"]
        key = int(request.headers.get("Shard-Key", 0))
        self.arrived_ids.add(attempt)
        self.record.write("endpoint", self.name, "receives", attempt)
        with self.idle:
            self.working[attempt] = key
        try:
            super().run(request, body)
        finally:
            with self.idle:
                self.working.pop(attempt, None)
                self.idle.notify_all()

    def release(self, body):
        status = super().release(body)
        with self.idle:
            self.idle.wait_for(lambda: not any(body["From"] <= key <= body["Target"] for key in self.working.values()), 3)
        return status


class Caller(threading.Thread):
    """Makes one request after another on a connection that it keeps. Opens a new one when it was closed."""

    def __init__(self, record, name, address, requests, stop):
        super().__init__(daemon=True)
        self.record, self.name, self.address, self.requests, self.stop = record, name, address, requests, stop
        # Attempt ids that ended without an answer on a connection that had been answered before.
        self.lost_on_kept = []
        self.statuses = {}

    def sent(self, attempt):
        """Called before a request is sent."""

    def answered(self, attempt, reply):
        """Called with each answer."""

    def run(self):
        connection, answered = None, 0
        number = 0
        while not self.stop.is_set():
            number += 1
            method, path, key, body, limit_ms = self.requests(number)
            attempt = uuid.uuid4().hex
            fields = {"Host": "site.example", "Attempt-Id": attempt, "Deadline-Remaining-Ms": str(limit_ms), "Shard-Key": str(key)}
            if connection is None:
                connection, answered = http.client.HTTPConnection(self.address, timeout=limit_ms / 1000 + 2), 0
            try:
                self.sent(attempt)
                self.record.write("caller", self.name, "sends", attempt, method, path, "key", key, "on a kept connection" if answered else "on a new connection")
                connection.request(method, path, body, fields)
                reply = connection.getresponse()
                text = reply.read()
                self.record.write("caller", self.name, "gets", attempt, reply.status, text[:60])
                self.statuses[reply.status] = self.statuses.get(reply.status, 0) + 1
                answered += 1
                self.answered(attempt, reply)
                if reply.will_close:
                    connection.close()
                    connection = None
                if reply.status != 200:
                    time.sleep(0.05)
            except (OSError, http.client.HTTPException) as error:
                self.record.write("caller", self.name, "gets no answer for", attempt, type(error).__name__)
                self.statuses["none"] = self.statuses.get("none", 0) + 1
                if answered:
                    self.lost_on_kept.append(attempt)
                connection.close()
                connection = None
                time.sleep(0.1)


class Site:
    """A store, endpoints and instances in two availability zones. Ends everything that it started when it is left."""

    def __init__(self, record, instances=3, routes=None, services=None):
        self.record = record
        self.directory = tempfile.mkdtemp(prefix="sycamoretray-review-")
        self.store_server = StoreServer(free_address())
        self.store = self.store_server.store
        self.store.put("keyed.op", "config", configuration(3, routes or ROUTES, services or SERVICES))
        self.endpoints = []
        self.instances = []
        self.instance_count = instances

    def add_endpoint(self, name, service, kind=SoundEndpoint, **options):
        endpoint = kind(self.record, self.store, name, service, free_address(), divided=dict(SERVICES)[service], **options)
        self.endpoints.append(endpoint)
        return endpoint

    def start_instances(self):
        for index in range(self.instance_count):
            self.instances.append(Instance(self.record, self.directory, f"front-{index + 1}", f"z{index % 2 + 1}", self.store_server.address))
        for instance in self.instances:
            wait_until("readiness", instance.ready, 15)
        wait_until("owners of all keys", self.all_held, 15)

    def all_held(self):
        return sum(endpoint.held_count() for endpoint in self.endpoints if endpoint.divided) == 65536

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for instance in self.instances:
            instance.close()
        for listener in self.endpoints + [self.store_server]:
            listener.close()
        shutil.rmtree(self.directory, ignore_errors=True)


def run_case(file, case):
    """Runs @p case with a record beside @p file. Exits with its result, or with COULD_NOT_RUN if it raises an exception."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(COULD_NOT_RUN))
    record = Record(pathlib.Path(file).resolve().parent)
    record.write("disruption", "on" if TROUBLE else "off")
    result = COULD_NOT_RUN
    try:
        result = case(record)
    except Exception as error:  # noqa: BLE001: every failure of the case itself has the same result
        record.write("could not run:", repr(error))
        print("could not run:", repr(error))
    record.write("result", result)
    record.close()
    sys.exit(result)
