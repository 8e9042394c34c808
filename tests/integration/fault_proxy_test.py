"""20,000 requests from many connections to three instances, with faults on every connection in the system."""
import pathlib
import re
import unittest

from cluster import drum_cluster
from integration_case import IntegrationCase

SEED = 4711
CRASH_SUSPECT = "116"
COUNTED_CRASH = re.compile(r"event=crash_suspect .*fingerprint=(\d+) crashes=(\d+)")
RATE = 2000


class FaultProxyTest(IntegrationCase):
    proxy = True

    def requests_cut_twice(self):
        """Fingerprints of the requests that instances have seen end two connections to servers."""
        text = "".join(path.read_text(errors="replace") for path in pathlib.Path(self.directory).glob("*.log"))
        return {fingerprint for fingerprint, crashes in COUNTED_CRASH.findall(text) if int(crashes) >= 2}

    def test_every_caller_gets_its_own_whole_answer(self):
        """Guards against mixed-up, truncated or lost answers, runs without ownership and second runs when connections break."""
        print(f"seed {SEED}")
        drum_cluster(self.cluster)
        names = [server.name for server in self.cluster.servers]
        load = self.cluster.start_load("faults", workload="steady", rate=RATE, seconds=10, seed=SEED, connections=40, deadline_ms=20000,
                                       attempt_timeout_ms=3000)
        self.sleep(0.5)
        for name in names:
            self.cluster.fault(f"server-{name}", down={"cut_probability": 0.002}, up={"cut_probability": 0.0005})
        for instance in self.cluster.instances:
            self.cluster.fault(f"caller-{instance.name}", down={"cut_probability": 0.002})
            self.cluster.fault(f"peer-{instance.name}", up={"delay_ms": 2}, down={"delay_ms": 1})
        for step in range(6):
            self.sleep(1)
            instance = self.cluster.instances[step % len(self.cluster.instances)]
            self.cluster.fault(f"peer-{instance.name}", cut=True)
            self.cluster.fault(f"log-{instance.name}", cut=True)
            self.cluster.fault(f"server-{names[step % len(names)]}", cut=True)
        self.cluster.fault("*", up={"cut_probability": 0}, down={"cut_probability": 0})
        summary = self.cluster.finish_load(load, 60)
        print(summary["results"], summary["attempts"])
        self.assert_clean(summary)
        self.assertGreater(summary["requests"], 19000)
        # A request whose connections to servers were cut twice counts as one that crashes servers, and is refused.
        refused = summary["attempts"]["codes"].get(CRASH_SUSPECT, 0)
        self.assertEqual(summary["results"]["not_run"], refused, summary["results"])
        self.assertLessEqual(refused, len(self.requests_cut_twice()))
        self.assertGreater(summary["attempts"]["connections_lost"], 0, "the faults had no effect")


if __name__ == "__main__":
    unittest.main()
