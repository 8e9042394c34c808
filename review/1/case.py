"""An endpoint that is emptied spoils a few of its answers to releases. Counts the requests that this costs at sound endpoints."""
import pathlib
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standins"))

from case import BROKEN, HELD, TROUBLE, Caller, Site, SoundEndpoint, run_case  # noqa: E402

# Dose of the disruption on the pages: a share of 0.03 of the answers, for 5 s.
SPOILED_SHARE = 0.03
SPOILING_S = 5.0
CALLERS_PER_INSTANCE = 10
# The rule allows three.
ALLOWED_LOST = 3


class SpoilingEndpoint(SoundEndpoint):
    def __init__(self, *arguments, **options):
        self.spoiling_since = None
        self.answers = 0
        self.spoiled = 0
        super().__init__(*arguments, **options)

    def may_spoil(self):
        spoiling = self.spoiling_since is not None and time.monotonic() - self.spoiling_since < SPOILING_S
        return spoiling and self.spoiled + 1 <= SPOILED_SHARE * self.answers

    def handle(self, request, method):
        self.answers += self.spoiling_since is not None
        if request.path != "/api/release" or not self.may_spoil():
            super().handle(request, method)
            return
        self.spoiled += 1
        reply = request.reply

        def spoiled_reply(status, body=b"", fields=None):
            # The value has bytes that are no text.
            reply(status, body, {**(fields or {}), "Handover": b"\x5c\x0e\xf3\x8c\xb9\xff\x6a".decode("latin-1").replace("\x0e", "~")})

        request.reply = spoiled_reply
        self.record.write("endpoint", self.name, "spoils its answer to a release;", self.spoiled, "spoiled of", self.answers)
        super().handle(request, method)


def requests(number):
    # Requests for the service that is not divided by key and for keys all over the key space.
    if number % 2 == 0:
        return "POST", "/credit/x", 0, b"12.50", 2000
    return "POST", "/book/x", number * 7919 % 65536, b"truck 5", 3000


def case(record):
    with Site(record) as site:
        faulty = site.add_endpoint("desk-0", "desk", SpoilingEndpoint)
        for index in range(1, 5):
            site.add_endpoint(f"desk-{index}", "desk")
        for index in range(4):
            site.add_endpoint(f"ledger-{index}", "ledger")
        for endpoint in site.endpoints:
            endpoint.run_seconds = 0.15
        site.start_instances()
        stop = threading.Event()
        callers = [Caller(record, f"{instance.name}/{index}", instance.front, requests, stop) for instance in site.instances
                   for index in range(CALLERS_PER_INSTANCE)]
        for caller in callers:
            caller.start()
        time.sleep(4)
        if TROUBLE:
            faulty.spoiling_since = time.monotonic()
            record.write("endpoint", faulty.name, "spoils a share of", SPOILED_SHARE, "of its answers from now on")
        time.sleep(3)
        record.write("endpoint", faulty.name, "reports that it is draining")
        faulty.register("draining")
        time.sleep(8)
        stop.set()
        for caller in callers:
            caller.join(6)
        sound = set().union(*(endpoint.arrived_ids for endpoint in site.endpoints if endpoint is not faulty))
        lost = [attempt for caller in callers for attempt in caller.lost_on_kept if attempt in sound]
        ends = sum(instance.ends for instance in site.instances)
        statuses = {}
        for caller in callers:
            for status, count in caller.statuses.items():
                statuses[status] = statuses.get(status, 0) + count
        summary = (f"{ends} processes ended by themselves; {len(lost)} requests on kept connections were passed on to sound endpoints and got no answer "
                   f"(allowed: {ALLOWED_LOST}); {faulty.spoiled} of {faulty.answers} answers spoiled; answers by status: {statuses}")
        record.write(summary)
        print(summary)
        return BROKEN if len(lost) > ALLOWED_LOST else HELD


run_case(__file__, case)
