"""Instances and servers that are killed or paused under load, and outages of the log service."""
import unittest

from cluster import start_example_cluster
from integration_case import RUN_LONG_TESTS, IntegrationCase


class LossTest(IntegrationCase):
    def start_load(self, name, seconds, **options):
        load_options = {"workload": "steady", "rate": 500, "seed": 7, "connections": 100, "deadline_ms": 20000, "attempt_timeout_ms": 1500, **options}
        return self.cluster.start_load(name, seconds=seconds, **load_options)

    def home_of(self, server):
        status = self.cluster.live_instances()[0].status()
        home = next(entry["home"] for entry in status["servers"] if entry["server"] == server.full_name)
        return next(instance for instance in self.cluster.instances if home.startswith(instance.name + "#"))

    def finish_load(self, load, seconds=60):
        summary = self.cluster.finish_load(load, seconds)
        print(self.id(), summary["results"], "longest wait ms", round(summary["latency"]["all"]["max_us"] / 1000))
        return summary

    def test_paused_instance(self):
        """Guards against an instance that goes on serving or granting leases after a pause in which another became the home."""
        start_example_cluster(self.cluster)
        load = self.start_load("pause-instance", 8)
        self.sleep(1)
        instance = self.home_of(self.cluster.servers[0])
        for pause in (0.6, 2.0):
            instance.process.pause()
            self.sleep(pause)
            instance.process.resume()
            self.sleep(1.2)
        self.assert_clean(self.finish_load(load))
        self.cluster.wait_until_served()

    def test_paused_server(self):
        """Guards against a server whose lease expired in a pause and that then runs requests concurrently with the new owner of its keys."""
        start_example_cluster(self.cluster)
        load = self.start_load("pause-server", 8)
        self.sleep(1)
        for server, pause in ((self.cluster.servers[0], 0.6), (self.cluster.servers[1], 2.5)):
            server.process.pause()
            self.sleep(pause)
            server.process.resume()
            self.sleep(1)
        self.assert_clean(self.finish_load(load))
        self.cluster.wait_until_served()

    def test_instance_and_server_killed_at_once(self):
        """Guards against keys that stay unserved when a server and its home are lost together."""
        start_example_cluster(self.cluster)
        load = self.start_load("kill-both", 8)
        self.sleep(2)
        server = self.cluster.servers[0]
        instance = self.home_of(server)
        instance.process.kill()
        server.process.kill()
        summary = self.finish_load(load)
        self.assert_clean(summary)
        self.assertEqual(summary["results"]["not_run"], 0, summary["results"])
        self.cluster.wait_until_served()

    def test_log_outage_with_kill(self):
        """Guards against an outage of the log service that stops all requests, and against a takeover that is not recorded in the log."""
        seconds = 60 if RUN_LONG_TESTS else 10
        start_example_cluster(self.cluster)
        load = self.start_load("outage", seconds + 6, rate=200, connections=400, deadline_ms=(seconds + 30) * 1000)
        self.sleep(1)
        self.cluster.control_log_service(outage=True)
        self.sleep(seconds / 2)
        victim = self.cluster.servers[0]
        victim.process.kill()
        self.sleep(seconds / 2)
        self.cluster.control_log_service(outage=False)
        summary = self.finish_load(load, seconds + 90)
        self.assert_clean(summary)
        self.assertEqual(summary["results"]["not_run"], 0, summary["results"])
        self.cluster.wait_until_served()
        before_kill = [step for step in summary["time_line"] if 1.5 < step[0] < 1 + seconds / 2]
        late = sum(step[2] for step in before_kill)
        self.assertLess(late, sum(step[1] for step in before_kill) / 2, "requests were not served during the outage")


if __name__ == "__main__":
    unittest.main()
