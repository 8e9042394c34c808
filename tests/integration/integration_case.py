"""Base class of the integration tests.

Environment: SYCAMORETRAY_BUILD is the build directory; SYCAMORETRAY_FULL=1 selects the long variants of tests.
"""
import os
import pathlib
import shutil
import tempfile
import time
import unittest

from cluster import ROOT, Cluster

BUILD = pathlib.Path(os.environ.get("SYCAMORETRAY_BUILD", ROOT / "build"))
RUN_LONG_TESTS = os.environ.get("SYCAMORETRAY_FULL") == "1"


class IntegrationCase(unittest.TestCase):
    """Gives each test a cluster and kills its processes at the end. The files of a failed test are kept and their directory printed."""

    proxy = False
    ownership = None

    def setUp(self):
        self.directory = tempfile.mkdtemp(prefix="sycamoretray-test-")
        self.cluster = Cluster(BUILD, self.directory, proxy=self.proxy, ownership=self.ownership)
        self.addCleanup(self.remove_files)
        self.addCleanup(self.cluster.__exit__)

    def remove_files(self):
        # unittest resets _outcome.success before each cleanup, so look the test up among the recorded failures instead.
        result = self._outcome.result
        if any(test is self for test, _ in result.failures + result.errors):
            print(f"files of {self.id()} are kept in {self.directory}")
        else:
            shutil.rmtree(self.directory, ignore_errors=True)

    def sleep(self, seconds):
        time.sleep(seconds)

    def assert_clean(self, summary):
        """Asserts that no request was lost or answered wrongly, and that the servers' journals show no violation."""
        self.assertEqual(summary["violations"], [])
        self.assertEqual(summary["results"]["lost"], 0, summary["results"])
        self.assertEqual(summary["results"]["wrong_answer"], 0, summary["results"])
        self.assertEqual(summary["exit_code"], 0)

    def assert_all_answered(self, summary):
        self.assert_clean(summary)
        self.assertEqual(summary["results"]["answered"], summary["requests"], summary["results"])
