"""Concurrent publication by two operators, and the time until a change is in force at all instances."""
import concurrent.futures
import copy
import json
import time
import unittest

from cluster import ROOT, start_example_cluster
from integration_case import IntegrationCase
from processes import wait_until

ROUNDS = 10
IN_FORCE_LIMIT_S = 5


class PublishTest(IntegrationCase):
    def versions(self, instance):
        return {(entry["kind"], entry["name"]): entry["version"] for entry in instance.status()["documents"]}

    def template_version(self, instance):
        return max(version for (kind, name), version in self.versions(instance).items() if name == "drum-logistics")

    def test_one_of_two_operators_wins(self):
        """Guards against a lost update, and against an acknowledged document that is not in force at every instance within 5 s."""
        start_example_cluster(self.cluster, servers=3)
        template = json.loads((ROOT / "examples/vratnik/template.json").read_text())
        slowest = 0
        with concurrent.futures.ThreadPoolExecutor(2) as pool:
            for turn in range(ROUNDS):
                base = self.template_version(self.cluster.instances[0])
                documents = []
                for operator in range(2):
                    document = copy.deepcopy(template)
                    document["parameters"]["leave_limit_ms"]["default"] = 5000 + 10 * turn + operator
                    documents.append(document)
                futures = [pool.submit(self.cluster.publish, "template", "drum-logistics", documents[i], base, self.cluster.instances[i]) for i in range(2)]
                answers = [future.result() for future in futures]
                self.assertEqual(sorted(status for status, _ in answers), [200, 412], answers)
                loser = next(answer for status, answer in answers if status == 412)
                self.assertEqual(loser["code"], 302)
                acknowledged = time.monotonic()
                wait_until("the same version everywhere",
                           lambda: len({self.template_version(i) for i in self.cluster.instances} - {base}) == 1
                           and all(self.template_version(i) != base for i in self.cluster.instances), IN_FORCE_LIMIT_S)
                slowest = max(slowest, time.monotonic() - acknowledged)
        print(f"in force everywhere {slowest * 1000:.0f} ms after the acknowledgement, at most, in {ROUNDS} rounds")


if __name__ == "__main__":
    unittest.main()
