"""20,000 requests from many connections to three instances, with faults injected on every kind of connection."""
import pathlib
import re
import unittest

from cluster import start_example_cluster
from integration_case import IntegrationCase

SEED = 4711
CRASH_SUSPECT_CODE = "116"
CRASH_SUSPECT_EVENT = re.compile(r"event=crash_suspect .*fingerprint=(\d+) crashes=(\d+)")
REQUESTS_PER_SECOND = 2000


class FaultProxyTest(IntegrationCase):
    proxy = True

    def fingerprints_with_two_crashes(self):
        """Returns the fingerprints of requests during which an instance logged the loss of at least two server connections."""
        text = "".join(path.read_text(errors="replace") for path in pathlib.Path(self.directory).glob("*.log"))
        return {fingerprint for fingerprint, crashes in CRASH_SUSPECT_EVENT.findall(text) if int(crashes) >= 2}

    def test_every_caller_gets_its_own_whole_answer(self):
        """Guards against swapped, truncated or lost answers, and against runs without ownership or duplicate runs, when connections break."""
        print(f"seed {SEED}")
        start_example_cluster(self.cluster)
        names = [server.name for server in self.cluster.servers]
        load = self.cluster.start_load("faults", workload="steady", rate=REQUESTS_PER_SECOND, seconds=10, seed=SEED, connections=40, deadline_ms=20000,
                                       attempt_timeout_ms=3000)
        self.sleep(0.5)
        for name in names:
            self.cluster.set_link_fault(f"server-{name}", down={"cut_probability": 0.002}, up={"cut_probability": 0.0005})
        for instance in self.cluster.instances:
            self.cluster.set_link_fault(f"caller-{instance.name}", down={"cut_probability": 0.002})
            self.cluster.set_link_fault(f"peer-{instance.name}", up={"delay_ms": 2}, down={"delay_ms": 1})
        for step in range(6):
            self.sleep(1)
            instance = self.cluster.instances[step % len(self.cluster.instances)]
            self.cluster.set_link_fault(f"peer-{instance.name}", cut=True)
            self.cluster.set_link_fault(f"log-{instance.name}", cut=True)
            self.cluster.set_link_fault(f"server-{names[step % len(names)]}", cut=True)
        self.cluster.set_link_fault("*", up={"cut_probability": 0}, down={"cut_probability": 0})
        summary = self.cluster.finish_load(load, 60)
        print(summary["results"], summary["attempts"])
        self.assert_clean(summary)
        self.assertGreater(summary["requests"], 19000)
        # An instance can't tell a broken connection from a crash of the server: it refuses a request that lost two connections.
        refused = summary["attempts"]["codes"].get(CRASH_SUSPECT_CODE, 0)
        self.assertEqual(summary["results"]["not_run"], refused, summary["results"])
        self.assertLessEqual(refused, len(self.fingerprints_with_two_crashes()))
        self.assertGreater(summary["attempts"]["connections_lost"], 0, "the faults had no effect")


if __name__ == "__main__":
    unittest.main()
