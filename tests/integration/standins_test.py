"""Tests of the stand-in programs, without the daemon."""
import base64
import json
import unittest

from integration_case import IntegrationCase
from processes import get_json, http, wait_until


def encoded(text):
    return base64.b64encode(text.encode()).decode()


class LogServiceTest(IntegrationCase):
    def append(self, *texts, timeout=5.0):
        return http("POST", self.cluster.log_address, "/streams/s/records", {"records": [encoded(text) for text in texts]}, timeout=timeout)

    def read(self, start, wait_ms=0):
        status, _, text = http("GET", self.cluster.log_address, f"/streams/s/records?from={start}&max=100&wait_ms={wait_ms}")
        return status, json.loads(text)

    def test_lost_reply_takes_effect(self):
        """Guards against a log stand-in that drops the append, too, when it is told to lose only the reply."""
        self.cluster.start_platform()
        self.cluster.control_log_service(lose_replies=1)
        with self.assertRaises(OSError):
            self.append("a")
        self.assertEqual(json.loads(self.append("b")[2]), {"first_offset": 2})
        self.assertEqual([record["data"] for record in self.read(1)[1]["records"]], [encoded("a"), encoded("b")])

    def test_outage_and_held_append(self):
        """Guards against an append that takes effect during an outage, and against a held append that is lost instead of delayed."""
        self.cluster.start_platform()
        self.cluster.control_log_service(outage=True)
        self.assertEqual(self.append("a")[0], 503)
        self.assertEqual(self.read(1)[0], 503)
        self.cluster.control_log_service(outage=False, hold=True)
        with self.assertRaises(OSError):
            self.append("late", timeout=0.3)
        self.assertEqual(self.read(1)[1]["records"], [])
        self.cluster.control_log_service(hold=False)
        self.assertEqual(self.read(1, wait_ms=500)[1]["records"][0]["data"], encoded("late"))

    def test_expired_offset(self):
        """Guards against a read of expired records that returns an empty result instead of an error."""
        self.cluster.start_platform(retention_ms=200)
        self.append("a", "b")
        wait_until("expiry", lambda: self.read(1)[0] == 410, 3)
        self.assertEqual(self.read(1)[1], {"earliest_offset": 3, "next_offset": 3})


class PlatformTest(IntegrationCase):
    def test_instance_list_lags(self):
        """Guards against an instance list without the configured lag, which would make tests of that lag meaningless."""
        self.cluster.start_platform(lag_ms=400)
        instance = {"id": "i1", "incarnation": "i1#1", "state": "live"}
        http("PUT", self.cluster.instance_list_address, "/instances/i1", instance)
        self.assertEqual(get_json(self.cluster.instance_list_address, "/instances"), {"instances": []})
        wait_until("visibility", lambda: get_json(self.cluster.instance_list_address, "/instances") == {"instances": [instance]}, 3)


class ServerLeaseTest(IntegrationCase):
    def lease(self, server, term, challenge="", slots=((0, 16383),)):
        request = {"home_term": term, "challenge": challenge, "lease_ms": 400, "ownership_version": 1, "ownership": {"version": 1, "slots": slots}}
        return json.loads(http("POST", server.address, "/sycamoretray/v1/lease", request)[2])

    def send(self, server, term, identifier, run_us=0):
        headers = {"Sycamoretray-Request-Id": identifier, "Sycamoretray-Home-Term": str(term), "Sycamoretray-Hash-Slot": "5", "Sycamoretray-Key": "k",
                   "Test-Run-Us": str(run_us)}
        status, fields, _ = http("GET", server.address, "/x", headers=headers)
        return status, fields["Sycamoretray-Outcome"]

    def test_lease_bounds_runs(self):
        """Guards against a stand-in server that runs requests outside of its lease, which would hide faults of the home."""
        server = self.cluster.add_server("t", "leased", "zone-1")
        self.assertEqual(self.send(server, 7, "r1"), (421, "not-run"))
        self.lease(server, 7, self.lease(server, 7)["challenge"])
        self.assertEqual(self.send(server, 7, "r2"), (200, None))
        self.assertEqual(self.send(server, 6, "r3"), (421, "not-run"))
        self.assertEqual(self.send(server, 7, "r4", run_us=800000), (421, "not-run"), "the lease expires during the run")
        events = [json.loads(line) for line in server.journal.read_text().splitlines()]
        self.assertEqual([event["id"] for event in events if event["event"] == "commit"], ["r2"])
        self.assertEqual([event["id"] for event in events if event["event"] == "abandon"], ["r4"])

    def test_two_owners_are_found(self):
        """Guards against a load tool that reports no violation although two servers own the same slot."""
        servers = [self.cluster.add_server("t", name, "zone-1", checks_tokens=False) for name in ("left", "right")]
        for server, slots in zip(servers, (((0, 8000),), ((8000, 16383),))):
            self.lease(server, 7, self.lease(server, 7, slots=slots)["challenge"], slots)
        process = self.cluster.spawn("load-two", self.cluster.standin_path("load_tool/load_tool"), *[f"--instance={server.address}" for server in servers], "--direct",
                                     "--workload=steady", "--rate=100", "--seconds=1", *[f"--journal={server.journal}" for server in servers],
                                     f"--json={self.cluster.directory / 'two.json'}")
        summary = self.cluster.finish_load(process, 20)
        self.assertEqual(summary["exit_code"], 1)
        self.assertEqual(sum("two owners of slot 8000" in line for line in summary["violations"]), 1, summary["violations"][:3])
        self.assertTrue(any("without ownership" in line for line in summary["violations"]))


class LoadToolTest(IntegrationCase):
    proxy = True

    def direct_load(self, name, **options):
        server = self.cluster.add_server("t", name, "zone-1", worker_slots=50, checks_tokens=False)
        address = server.advertised_address
        process = self.cluster.spawn(f"load-{name}", self.cluster.standin_path("load_tool/load_tool"), f"--instance={address}", "--direct", "--workload=steady",
                                     "--rate=1000", "--seconds=2", "--seed=11", "--attempt-timeout-ms=300", "--deadline-ms=4000",
                                     f"--json={self.cluster.directory / name}.json", f"--html={self.cluster.directory / name}.html",
                                     *[f"--{option.replace('_', '-')}={value}" for option, value in options.items()])
        return server, process

    def test_truncated_answers_are_detected_and_retried(self):
        """Guards against truncated answers that are counted as complete."""
        _, process = self.direct_load("cut")
        self.cluster.set_link_fault("server-cut", down={"cut_probability": 0.02})
        summary = self.cluster.finish_load(process, 20)
        self.assertEqual(summary["exit_code"], 0)
        self.assertEqual(summary["results"]["answered"], summary["requests"])
        self.assertGreater(summary["attempts"]["connections_lost"], 5)

    def test_unserved_time_is_reported(self):
        """Guards against a report that shows no unserved time although a server was paused."""
        server, process = self.direct_load("freeze")
        wait_until("load", lambda: json.loads(http("GET", server.address, "/control")[2])["runs"] > 300, 10)
        server.process.pause()
        self.sleep(0.5)
        server.process.resume()
        summary = self.cluster.finish_load(process, 20)
        self.assertGreater(sum(step[2] for step in summary["time_line"]), 100)
        self.assertGreater(summary["latency"]["all"]["max_us"], 300000)
        self.assertIn("<svg", (self.cluster.directory / "freeze.html").read_text())

    def test_crash_on_marked_request(self):
        """Guards against a crash that is not recorded in the journal."""
        server = self.cluster.add_server("t", "crash", "zone-1", checks_tokens=False)
        with self.assertRaises(OSError):
            http("GET", server.address, "/x", headers={"Sycamoretray-Request-Id": "r1", "Test-Crash": "1"})
        server.process.child.wait(5)
        events = [json.loads(line) for line in server.journal.read_text().splitlines()]
        self.assertEqual([event["event"] for event in events], ["boot", "start", "crash"])

    def test_proxy_refuses_and_holds_one_way(self):
        """Guards against a simulated partition that lets bytes through, or loses bytes that it should only delay."""
        server = self.cluster.add_server("t", "held", "zone-1", checks_tokens=False)
        self.cluster.set_link_fault("server-held", down={"mode": "hold"})
        with self.assertRaises(OSError):
            http("GET", server.advertised_address, "/x", headers={"Sycamoretray-Request-Id": "r2"}, timeout=0.3)
        self.assertEqual(server.control()["runs"], 2, "the request arrives; only the answer is held")
        self.cluster.set_link_fault("server-held", down={"mode": "pass"}, refuse=True)
        with self.assertRaises(OSError):
            http("GET", server.advertised_address, "/x", headers={"Sycamoretray-Request-Id": "r3"}, timeout=1)
        self.assertEqual(server.control()["runs"], 2)


if __name__ == "__main__":
    unittest.main()
