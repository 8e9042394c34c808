"""Checks that docs/OPERATIONS.md lists the log events and metrics found in the sources of the gateway."""
import pathlib
import re
import unittest

ROOT = pathlib.Path(__file__).resolve().parents[2]
DIRECTORIES = ("apps/sycamoretrayd/gateway", "libs/gateway", "libs/http_client", "libs/http_entry", "libs/key_ownership", "libs/metadata_store", "libs/permits", "platform")
EVENT = re.compile(r'(?:logEvent\((?:event_severity::\w+,\s*)?|note\(|log\()\s*"(\w+)"')
METRIC = re.compile(r'"(sycamoretray_\w+)')


class OperationsPageTest(unittest.TestCase):
    def setUp(self):
        self.sources = "\n".join(path.read_text(encoding="utf-8") for name in DIRECTORIES for path in sorted((ROOT / name).rglob("*.cpp")))
        self.page = (ROOT / "docs" / "OPERATIONS.md").read_text(encoding="utf-8")

    def test_events_are_listed(self):
        """Guards against events that are not documented, and against documented events that no longer exist."""
        events = set(EVENT.findall(self.sources))
        self.assertGreater(len(events), 30)
        listed = set()
        for row in re.findall(r"^\| (`.*?`) \|", self.page.split("## Events")[1].split("\n## ")[0], re.MULTILINE):
            listed |= set(re.findall(r"`(\w+)`", row))
        self.assertEqual(listed - events, set(), "listed, but not in the sources")
        self.assertEqual(events - listed, set(), "in the sources, but not listed")

    def test_metrics_are_listed(self):
        metrics = set(METRIC.findall(self.sources))
        self.assertGreater(len(metrics), 8)
        self.assertEqual({metric for metric in metrics if metric not in self.page}, set())


if __name__ == "__main__":
    unittest.main()
