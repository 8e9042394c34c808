"""Runs measurements with a cluster of processes, and the measurement programs of tests/, and collects them in docs/measurements.json.

docs/measurements.md is rendered from that file. A row has the fields measure, target, value, unit, baseline, seeds and command.
"""
import json
import os
import pathlib
import subprocess
import sys
import tempfile
import time

from cluster import ROOT, Cluster, start_example_cluster

BUILD = pathlib.Path(os.environ.get("SYCAMORETRAY_BUILD", ROOT / "build"))
DATA_PATH = ROOT / "docs" / "measurements.json"
PAGE_PATH = ROOT / "docs" / "measurements.md"
PROGRAM_TIMEOUT_S = 900
RUNS_PER_CASE = 5


def row(name, measure, target, value, unit, baseline, seeds):
    rounded = float(f"{value:.4g}")
    return {"measure": measure, "target": target, "value": rounded, "unit": unit, "baseline": baseline, "seeds": seeds, "command": f"scripts/measure {name}"}


def cluster_for(name):
    return Cluster(BUILD, tempfile.mkdtemp(prefix=f"sycamoretray-measure-{name}-"))


def require_clean(summary, journals=True):
    results = summary["results"]
    if results["lost"] or results["wrong_answer"] or (journals and summary["violations"]):
        raise RuntimeError(f"the run is not clean: {summary['results']} {summary['violations'][:3]}")


def throughput():
    """Requests per second of processor time of the instances; the time of the load tool and the servers is not counted."""
    rate, seconds, seed = 4000, 6, 21
    with cluster_for("throughput") as cluster:
        start_example_cluster(cluster, run_us=0)
        processes = [instance.process for instance in cluster.instances]
        idle_from = sum(process.cpu_seconds() for process in processes)
        time.sleep(5)
        idle = (sum(process.cpu_seconds() for process in processes) - idle_from) / 5
        before = sum(process.cpu_seconds() for process in processes)
        began = time.monotonic()
        summary = cluster.finish_load(cluster.start_load("throughput", workload="probe", rate=rate, seconds=seconds, seed=seed), 60)
        wall = time.monotonic() - began
        used = sum(process.cpu_seconds() for process in processes) - before
    require_clean(summary)
    requests = f"{summary['requests']} requests, seed {seed}"
    latency = summary["latency"]["all"]
    return [row("throughput", "whole path, entry and home: requests per second of processor time", 20000, summary["requests"] / (used - idle * wall),
                "requests/s per core", None, requests),
            row("throughput", "processor time of one idle instance, 3 instances, 7 servers", 2.5, 100 * idle / len(processes), "% of a core", None, "5 s"),
            row("throughput", f"whole path, p99 at {rate} requests/s", None, latency["p99_us"] / 1000, "ms", None, requests)]


def added_latency():
    """Latency of calls through the instances, less that of direct calls to the same servers, at half of the servers' capacity.

    Runs of both kinds alternate.
    """
    run_us, seed = 4000, 22
    rows = []
    with cluster_for("latency") as cluster:
        start_example_cluster(cluster, run_us=run_us, checks_tokens=False)
        tracking = [server for server in cluster.servers if server.service == "vratnik.tracking"]
        rate = len(tracking) * 2 * 1000000 // run_us // 2
        results = {"through": [], "direct": []}
        for turn in range(3):
            load = cluster.start_load(f"through-{turn}", workload="probe", rate=rate, seconds=5, seed=seed + turn)
            results["through"].append(cluster.finish_load(load, 60))
            # Direct calls run without ownership, which the journals show as violations: check the journals before the first of them only.
            require_clean(results["through"][-1], journals=turn == 0)
            path = cluster.directory / f"direct-{turn}.json"
            command = [str(cluster.standin_path("load_tool/load_tool")), *[f"--instance={server.address}" for server in tracking], "--direct", "--workload=probe",
                       f"--rate={rate}", "--seconds=5", f"--seed={seed + turn}", f"--json={path}"]
            subprocess.run(command, check=True, capture_output=True, timeout=60)
            results["direct"].append(json.loads(path.read_text()))
    for quantile, target in (("p50", None), ("p99", 1.0)):
        through, direct = (sorted(summary["latency"]["all"][f"{quantile}_us"] / 1000 for summary in results[way])[1] for way in ("through", "direct"))
        rows.append(row("added_latency", f"latency added to direct calls at half load, {quantile} (median of 3 runs)", target, through - direct, "ms",
                        f"direct: {direct:.3g} ms", f"seeds {seed}-{seed + 2}, {rate} requests/s for 5 s each"))
    return rows


def longest_wait_after_kill_ms(case, seed):
    """Kills a server, its home or both under load. Returns the longest wait for an answer in milliseconds."""
    with cluster_for("unserved") as cluster:
        start_example_cluster(cluster)
        server = cluster.servers[seed % 6]
        home = next(entry["home"] for entry in cluster.instances[0].status()["servers"] if entry["server"] == server.full_name)
        instance = next(instance for instance in cluster.instances if home.startswith(instance.name + "#"))
        load = cluster.start_load("kill", workload="probe", rate=800, seconds=5, seed=seed, connections=200, deadline_ms=20000, attempt_timeout_ms=3000)
        time.sleep(1.5)
        if case in ("instance", "both"):
            instance.process.kill()
        if case in ("server", "both"):
            server.process.kill()
        summary = cluster.finish_load(load, 60)
        require_clean(summary)
        return summary["latency"]["all"]["max_us"] / 1000


def unserved():
    rows = []
    for case in ("server", "instance", "both"):
        values = [longest_wait_after_kill_ms(case, seed) for seed in range(1, RUNS_PER_CASE + 1)]
        rows.append(row("unserved", f"longest wait for an answer after kill -9 of {'a server' if case == 'server' else 'a home' if case == 'instance' else 'a server and its home'}, "
                        f"real processes, maximum of {RUNS_PER_CASE}", 2000, max(values), "ms", None, f"seeds 1-{RUNS_PER_CASE}, 800 requests/s"))
    return rows


def program_rows(name, program):
    """Runs a measurement program below tests/ of the build directory. Returns the rows that it prints, one JSON object per line."""
    found = sorted(path for path in (BUILD / "tests").rglob(program) if path.is_file() and os.access(path, os.X_OK))
    if not found:
        raise RuntimeError(f"{program} is not built")
    reply = subprocess.run([str(found[0])], check=True, capture_output=True, text=True, timeout=PROGRAM_TIMEOUT_S)
    rows = [json.loads(line) for line in reply.stdout.splitlines() if line.startswith("{")]
    if not rows:
        raise RuntimeError(f"{program} printed no rows")
    for item in rows:
        if isinstance(item["value"], float):
            item["value"] = float(f"{item['value']:.4g}")
    return rows


MEASUREMENTS = {
    "throughput": throughput,
    "added_latency": added_latency,
    "unserved": unserved,
    "ownership": lambda: program_rows("ownership", "measure_ownership"),
    "dispatch": lambda: program_rows("dispatch", "measure_dispatch"),
    "capacity": lambda: program_rows("capacity", "measure_capacity"),
}


def table_cell(value):
    return "–" if value is None else str(value).replace("|", "\\|")


def render(data):
    lines = ["# Measurements", "", "Rendered by `scripts/measure` from `docs/measurements.json`; not edited by hand. Rows with real processes depend on the",
             "machine; rows of the simulation are in virtual time.", ""]
    for name in sorted(data):
        entry = data[name]
        lines += [f"## {name}", "", f"Revision {entry['revision']}, {entry['processors']} processors, load average {entry['load_average']} at the start.", "",
                  "| measure | target | value | unit | baseline | seeds or requests | command |", "|---|---|---|---|---|---|---|"]
        lines += ["| " + " | ".join(table_cell(item.get(key)) for key in ("measure", "target", "value", "unit", "baseline", "seeds", "command")) + " |"
                  for item in entry["rows"]]
        lines.append("")
    return "\n".join(lines)


def main(names):
    unknown = [name for name in names if name not in MEASUREMENTS]
    if unknown:
        sys.exit(f"measure: unknown name {unknown[0]}; known: {', '.join(MEASUREMENTS)}")
    data = json.loads(DATA_PATH.read_text()) if DATA_PATH.exists() else {}
    revision = subprocess.run(["git", "-C", str(ROOT), "describe", "--always", "--dirty"], check=True, capture_output=True, text=True).stdout.strip()
    failed = False
    for name in names or MEASUREMENTS:
        load_average = f"{os.getloadavg()[0]:.1f}"
        try:
            rows = MEASUREMENTS[name]()
        except (RuntimeError, OSError, TimeoutError, subprocess.SubprocessError) as error:
            print(f"measure: {name} failed: {error}", file=sys.stderr)
            failed = True
            continue
        data[name] = {"revision": revision, "processors": os.cpu_count(), "load_average": load_average, "rows": rows}
        for item in rows:
            print(json.dumps(item))
        DATA_PATH.write_text(json.dumps(data, indent=1, ensure_ascii=False) + "\n")
        PAGE_PATH.write_text(render(data))
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
