"""Rolling restart of all instances and of all servers of a divided service, under load."""
import unittest

from cluster import start_example_cluster
from integration_case import IntegrationCase
from processes import http, wait_until


class RollingTest(IntegrationCase):
    def slots_of(self, server):
        status = self.cluster.live_instances()[0].status()
        return next(entry["slots"] for entry in status["servers"] if entry["server"] == server.full_name)

    def drain(self, server, draining):
        status, _, text = http("POST", self.cluster.live_instances()[0].admin_address, "/v1/endpoints/drain", {"server": server.full_name, "draining": draining})
        self.assertIn(status, (200, 202), text)

    def restart_server(self, server):
        self.drain(server, True)
        wait_until(f"{server.name} gave its slots away", lambda: self.slots_of(server) == 0, 20)
        self.assertEqual(server.process.terminate(), 0)
        server.process.start()
        self.cluster.wait_for_http(server.address, "/control")
        self.drain(server, False)
        wait_until(f"{server.name} has slots again", lambda: self.slots_of(server) > 0, 20)

    def restart_instance(self, instance):
        status, _, text = http("POST", instance.admin_address, "/v1/stop", {})
        self.assertIn(status, (200, 202), text)
        wait_until(f"end of {instance.name}", lambda: not instance.process.running(), 20)
        self.assertEqual(instance.process.child.returncode, 0)
        instance.process.start()
        wait_until(f"readiness of {instance.name}", instance.ready, 15)
        self.cluster.wait_until_served(20)

    def test_rolling_restart_interrupts_no_request(self):
        """Guards against requests that fail or lose their connection because of a planned stop."""
        start_example_cluster(self.cluster)
        load = self.cluster.start_load("rolling", workload="steady", rate=300, seconds=25, seed=5, connections=50, deadline_ms=20000, attempt_timeout_ms=5000)
        self.sleep(1)
        for instance in list(self.cluster.instances):
            self.restart_instance(instance)
        for server in [server for server in self.cluster.servers if server.service == "vratnik.tracking"]:
            self.restart_server(server)
        still_loading = load.running()
        summary = self.cluster.finish_load(load, 60)
        print(summary["results"], summary["attempts"], "longest wait ms", round(summary["latency"]["all"]["max_us"] / 1000), "load ran throughout:", still_loading)
        self.assert_all_answered(summary)
        self.assertEqual(summary["attempts"]["connections_lost"], 0, "connections with requests in flight were closed")


if __name__ == "__main__":
    unittest.main()
