"""A safe request that crashes each endpoint that begins to run it comes again and again. Counts the retries that reach endpoints."""
import pathlib
import sys
import threading
import time
import uuid

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standins"))

from case import BROKEN, HELD, ROUTES, TROUBLE, Caller, Site, SoundEndpoint, call_http, run_case  # noqa: E402

SEARCH = ("search", "/search/", "ledger", "safe")
BODY = b"the request that crashes endpoints"
# The endpoint is back after some seconds.
DOWN_S = 2.5
TIMES = 16
INTERVAL_S = 1.5
SETTLE_WINDOW_S = 3.0
# The rule allows three.
ALLOWED_RETRIES = 3


class Crashes:
    """Arrivals of the request at endpoints, and the crashes that it caused."""

    def __init__(self):
        self.lock = threading.Lock()
        self.seen = {}
        self.times = []
        # Times of arrivals of an attempt that had reached another endpoint before.
        self.retries = []

    def arrived(self, attempt):
        with self.lock:
            self.seen[attempt] = self.seen.get(attempt, 0) + 1
            if self.seen[attempt] > 1:
                self.retries.append(time.monotonic())
            self.times.append(time.monotonic())


class FragileEndpoint(SoundEndpoint):
    crashes = Crashes()
    # Attempt ids of other requests that were at work at an endpoint that crashed.
    interrupted = []

    def run(self, request, body):
        if body != BODY:
            super().run(request, body)
            return
        attempt = request.headers["Attempt-Id"]
        self.crashes.arrived(attempt)
        if not TROUBLE:
            super().run(request, body)
            return
        with self.idle:
            self.interrupted.extend(self.working)
        self.record.write("endpoint", self.name, "begins", attempt, "and crashes; others at work:", len(self.working))
        request.close_connection = True
        self.crash()
        threading.Timer(DOWN_S, self.start_again).start()

    def start_again(self):
        if not self.site.left:
            self.record.write("endpoint", self.name, "is back")
            self.site.add_endpoint(self.name, self.service, FragileEndpoint).take_over(self)

    def take_over(self, former):
        self.site, self.run_seconds = former.site, former.run_seconds
        self.site.endpoints.remove(former)


def requests(number):
    return "POST", "/credit/x", 0, b"12.50", 2000


def case(record):
    with Site(record, instances=3, routes=ROUTES + [SEARCH]) as site:
        site.left = False
        site.add_endpoint("desk-0", "desk")
        for index in range(10):
            endpoint = site.add_endpoint(f"ledger-{index}", "ledger", FragileEndpoint)
            endpoint.site, endpoint.run_seconds = site, 0.1
        site.start_instances()
        stop = threading.Event()
        callers = [Caller(record, f"{instance.name}/{index}", instance.front, requests, stop) for instance in site.instances for index in range(2)]
        for caller in callers:
            caller.start()
        time.sleep(4)
        for number in range(TIMES):
            instance = site.instances[number % len(site.instances)]
            attempt = uuid.uuid4().hex
            fields = {"Host": "site.example", "Attempt-Id": attempt, "Deadline-Remaining-Ms": "1000"}
            record.write("caller sends", attempt, "to", instance.name, "which crashes endpoints")
            status = call_http("POST", instance.front, "/search/crash", BODY, fields)[0]
            record.write("caller gets", attempt, status)
            time.sleep(INTERVAL_S)
        stop.set()
        for caller in callers:
            caller.join(6)
        site.left = True
        crashes = FragileEndpoint.crashes
        late = []
        if len(crashes.times) >= 3 and TROUBLE:
            late = [each for each in crashes.retries if each > crashes.times[2] + SETTLE_WINDOW_S]
        statuses = {}
        for caller in callers:
            for status, count in caller.statuses.items():
                statuses[status] = statuses.get(status, 0) + count
        summary = (f"the request came {TIMES} times and reached endpoints {len(crashes.times)} times; {len(late)} retries reached endpoints later than "
                   f"{SETTLE_WINDOW_S} s after the third crash (allowed: {ALLOWED_RETRIES}); {len(FragileEndpoint.interrupted)} requests of others were at "
                   f"work at endpoints that crashed; answers to the others: {statuses}")
        record.write(summary)
        print(summary)
        return BROKEN if len(late) > ALLOWED_RETRIES else HELD


run_case(__file__, case)
