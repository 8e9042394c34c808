"""End-to-end demonstration: three instances and servers in three zones serve two teams while a server and an instance are killed."""
import json
import os
import pathlib
import subprocess
import sys
import tempfile
import time

from cluster import ROOT, ZONES, Cluster

KEYS = ["drum-1", "drum-2", "drum-3", "drum-4", "drum-5", "drum-6"]


def curl(instance, method, path, *fields):
    command = ["curl", "-sS", "-i", "--max-time", "10", "-X", method, f"http://{instance.caller_address}{path}"]
    for field in fields:
        command += ["-H", field]
    reply = subprocess.run(command, capture_output=True, text=True, timeout=15, check=False)
    if reply.returncode != 0:
        raise RuntimeError(f"curl {method} {path}: {reply.stderr.strip()}")
    lines = reply.stdout.replace("\r", "").split("\n")
    outcome = next((line.split(":")[1].strip() for line in lines if line.lower().startswith("sycamoretray-outcome:")), "missing")
    print(f"  curl {method} {path} at {instance.name}: {lines[0]}, outcome {outcome}")
    return outcome


def start(cluster):
    cluster.start_platform()
    for index in range(6):
        cluster.add_server("vratnik.tracking", f"drum-{index + 1:02}", ZONES[index % 3], worker_slots=2)
        cluster.add_server("nepal.assessment", f"rates-{index + 1:02}", ZONES[index % 3], worker_slots=3)
    for index in range(2):
        cluster.add_server("vratnik.credit", f"ledger-{index + 1:02}", ZONES[index], worker_slots=2, divided=False)
        cluster.add_server("nepal.lodging", f"lodging-{index + 1:02}", ZONES[index + 1], worker_slots=3, divided=False)
    cluster.start_instances(3)


def publish(cluster):
    def endpoints(service):
        return [server.definition() for server in cluster.servers if server.service == service]

    cluster.publish_example("vratnik", {"tracking_endpoints": endpoints("vratnik.tracking"), "credit_endpoints": endpoints("vratnik.credit")})
    cluster.publish_example("nepal", {"assessment_endpoints": endpoints("nepal.assessment"), "lodging_endpoints": endpoints("nepal.lodging")})
    cluster.wait_until_served()
    cluster.wait_until_balanced()


def send_example_requests(cluster):
    calls = [("GET", "/tracking/drum-1/position"), ("POST", "/tracking/drum-1/pickups"), ("GET", "/credit/customer-1"), ("POST", "/credit/customer-1"),
             ("GET", "/assessment/rates", "Fleet-Key: fleet-1"), ("POST", "/lodging/declarations")]
    outcomes = [curl(cluster.instances[index % 3], *parts) for index, parts in enumerate(calls)]
    return all(outcome == "answered" for outcome in outcomes)


def print_owners(cluster, title):
    print(title)
    for key in KEYS:
        print(f"  {key}: {json.dumps(cluster.owner('vratnik.tracking', key))}")


def kill_server_and_instance(cluster):
    server = cluster.servers[0]
    print(f"kill server {server.full_name}")
    server.process.kill()
    time.sleep(2.5)
    instance = cluster.instances[0]
    print(f"kill instance {instance.name}")
    instance.process.kill()


def print_report(summary, directory):
    results = summary["results"]
    lost = results["lost"] + results["wrong_answer"] + results["not_run"]
    steps = [step for step in summary["time_line"] if step[2] > 0]
    print(f"requests {summary['requests']}: {json.dumps(results)}")
    print(f"longest wait for an answer: {summary['latency']['all']['max_us'] / 1000:.0f} ms; "
          f"unserved time: {len(steps) * 50} ms in which some request waited longer than 100 ms")
    print(f"violations: {summary['violation_count']} {summary['violations'][:5]}")
    print(f"requests lost: {lost}")
    print(f"report: {directory}/demo.html")
    return lost == 0 and summary["violation_count"] == 0


def main():
    build = pathlib.Path(os.environ.get("SYCAMORETRAY_BUILD", ROOT / "build"))
    directory = tempfile.mkdtemp(prefix="sycamoretray-demo-")
    began = time.monotonic()
    print(f"logs and reports: {directory}")
    with Cluster(build, directory) as cluster:
        start(cluster)
        publish(cluster)
        print(f"three instances, {len(cluster.servers)} servers, two teams: served after {time.monotonic() - began:.1f} s")
        succeeded = send_example_requests(cluster)
        print_owners(cluster, "owners before the losses")
        load = cluster.start_load("demo", workload="both", rate=600, seconds=9, seed=42, connections=100, deadline_ms=20000, attempt_timeout_ms=2000)
        time.sleep(2)
        kill_server_and_instance(cluster)
        summary = cluster.finish_load(load, 40)
        cluster.wait_until_served()
        print_owners(cluster, "owners after the losses")
        succeeded = print_report(summary, directory) and succeeded
    print(f"demo {'succeeded' if succeeded else 'FAILED'} after {time.monotonic() - began:.1f} s")
    return 0 if succeeded else 1


if __name__ == "__main__":
    sys.exit(main())
