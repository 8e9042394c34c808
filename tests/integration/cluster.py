"""A cluster of processes on the loopback interface: platform stand-ins, servers and instances."""
import json
import os
import pathlib
import secrets
import subprocess

from processes import Process, free_address, get_json, http, wait_until

ROOT = pathlib.Path(__file__).resolve().parents[2]
ZONES = ["zone-1", "zone-2", "zone-3"]


class Server:
    def __init__(self, service, name, zone, worker_slots, checks_tokens, address, advertised_address, journal, process):
        self.service, self.name, self.zone = service, name, zone
        self.worker_slots, self.checks_tokens = worker_slots, checks_tokens
        self.address, self.advertised_address, self.journal, self.process = address, advertised_address, journal, process

    @property
    def full_name(self):
        return f"{self.service}/{self.name}"

    def definition(self):
        return {"name": self.name, "address": self.advertised_address, "availability_zone": self.zone, "worker_slots": self.worker_slots,
                "checks_tokens": self.checks_tokens}

    def control(self, **change):
        return json.loads(http("POST", self.address, "/control", change)[2])


class Instance:
    def __init__(self, name, zone, caller, admin, peer, advertised_caller, process):
        self.name, self.zone = name, zone
        self.caller_address, self.admin_address, self.peer_address, self.advertised_caller_address, self.process = caller, admin, peer, advertised_caller, process

    def status(self):
        return get_json(self.admin_address, "/v1/status", timeout=2)

    def ready(self):
        return http("GET", self.admin_address, "/readyz", timeout=1)[0] == 200


class Cluster:
    """Starts the processes. As a context manager, it kills all of them on exit."""

    def __init__(self, build, directory, proxy=False, ownership=None):
        self.build = pathlib.Path(build)
        self.directory = pathlib.Path(directory)
        self.directory.mkdir(parents=True, exist_ok=True)
        self.ownership = ownership or {}
        self.processes, self.servers, self.instances, self.journals = [], [], [], []
        self.proxy_address = None
        self.log_address, self.instance_list_address = free_address(), free_address()
        self.secret = self.directory / "peer-secret"
        self.secret.write_text(secrets.token_hex(32))
        self.secret.chmod(0o600)
        if proxy:
            self.proxy_address = free_address()
            self.spawn("tcp_proxy", self.standin_path("tcp_proxy/tcp_proxy"), f"--control={self.proxy_address}")
            self.wait_for_http(self.proxy_address, "/links")

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for process in self.processes:
            process.resume()
            process.kill()

    def standin_path(self, path):
        return self.build / "tests" / "standins" / path

    def spawn(self, name, *command):
        process = Process(name, command, self.directory)
        self.processes.append(process)
        return process

    def wait_for_http(self, address, path):
        wait_until(f"answer of {address}{path}", lambda: http("GET", address, path, timeout=1)[0] == 200, 10)

    def address_through_proxy(self, name, target):
        """Returns the address at which other processes connect to target: a new link of the fault proxy if there is one, else target itself."""
        if self.proxy_address is None:
            return target
        listen = free_address()
        status, _, text = http("POST", self.proxy_address, "/links", {"name": name, "listen": listen, "target": target})
        if status != 200:
            raise RuntimeError(f"proxy link {name}: {text}")
        return listen

    def set_link_fault(self, link, **change):
        status, _, text = http("POST", self.proxy_address, f"/links/{link}", change)
        if status != 200:
            raise RuntimeError(f"fault on link {link}: {text}")

    def start_platform(self, retention_ms=0, lag_ms=200):
        self.log_service = self.spawn("log_service", self.standin_path("log_service/log_service"), f"--listen={self.log_address}", f"--retention-ms={retention_ms}")
        self.instance_list = self.spawn("instance_list", self.standin_path("instance_list/instance_list"), f"--listen={self.instance_list_address}", f"--lag-ms={lag_ms}")
        self.wait_for_http(self.log_address, "/control")
        self.wait_for_http(self.instance_list_address, "/instances")

    def control_log_service(self, **change):
        return json.loads(http("POST", self.log_address, "/control", change)[2])

    def add_server(self, service, name, zone, worker_slots=2, divided=True, checks_tokens=True, run_us=500, options=()):
        address = free_address()
        full_name = f"{service}/{name}"
        journal = self.directory / f"{full_name.replace('/', '_')}.journal"
        command = [self.standin_path("server/standin_server"), f"--listen={address}", f"--name={full_name}", f"--worker-slots={worker_slots}",
                   f"--default-run-us={run_us}", f"--journal={journal}", *options]
        command += [] if divided else ["--undivided"]
        command += [] if checks_tokens else ["--ignore-tokens"]
        process = self.spawn(full_name, *command)
        self.wait_for_http(address, "/control")
        server = Server(service, name, zone, worker_slots, checks_tokens, address, self.address_through_proxy(f"server-{name}", address), journal, process)
        self.servers.append(server)
        self.journals.append(journal)
        return server

    def add_instance(self, name, zone, workers=2):
        caller_address, admin_address, peer_address = free_address(), free_address(), free_address()
        settings = {"instance": name, "availability_zone": zone, "caller_address": caller_address,
                    "admin_address": admin_address, "peer_address": peer_address,
                    "log_service_address": self.address_through_proxy(f"log-{name}", self.log_address), "instance_list_address": self.instance_list_address,
                    "register_with_instance_list": True, "peer_secret_file": str(self.secret), "workers": workers, "ownership": self.ownership}
        if self.proxy_address is not None:
            settings["advertised_peer_address"] = self.address_through_proxy(f"peer-{name}", peer_address)
        path = self.directory / f"{name}.json"
        path.write_text(json.dumps(settings, indent=2))
        process = self.spawn(name, self.build / "apps" / "sycamoretrayd" / "sycamoretrayd", f"--settings={path}")
        instance = Instance(name, zone, caller_address, admin_address, peer_address,
                            self.address_through_proxy(f"caller-{name}", caller_address), process)
        self.instances.append(instance)
        return instance

    def publish(self, kind, name, document, version=0, instance=None, timeout=10):
        """Publishes over `version` of the document. Returns (status, parsed answer)."""
        target = instance or self.live_instances()[0]
        status, _, text = http("PUT", target.admin_address, f"/v1/documents/{kind}/{name}", document, {"If-Match": f'"{version}"'}, timeout)
        return status, json.loads(text or "{}")

    def publish_example(self, team, endpoints):
        """Publishes examples/TEAM with its endpoint parameters replaced. endpoints: {parameter: [definition]}."""
        template = json.loads((ROOT / "examples" / team / "template.json").read_text())
        parameters = json.loads((ROOT / "examples" / team / "parameters.json").read_text())
        parameters["values"].update(endpoints)
        for kind, name, document in (("template", template["template"], template), ("parameters", team, parameters)):
            status, answer = self.publish(kind, name, document)
            if status not in (200, 201):
                raise RuntimeError(f"publishing {kind} {name}: status {status}: {answer}")

    def live_instances(self):
        return [instance for instance in self.instances if instance.process.running()]

    def start_instances(self, count, workers=2):
        started = [self.add_instance(f"i{len(self.instances) + 1}", ZONES[len(self.instances) % 3], workers) for _ in range(count)]
        for instance in started:
            wait_until(f"readiness of {instance.name}", instance.ready, 15)
        return started

    def wait_until_served(self, seconds=15):
        """Waits until every live instance sees every running server up and no slot unserved."""
        expected = {server.full_name for server in self.servers if server.process.running()}

        def served():
            for instance in self.live_instances():
                status = instance.status()
                up = {server["server"] for server in status["servers"] if server["up"]}
                if not expected <= up or status["unserved_slots"] != 0:
                    return False
            return True

        wait_until(f"all of {sorted(expected)} served", served, seconds)

    def wait_until_balanced(self, seconds=20):
        """Waits until slots are rebalanced after a change of servers: no server of a divided service holds more than 1.2 times the mean."""

        def balanced():
            slots = {}
            for entry in self.live_instances()[0].status()["servers"]:
                if entry["up"] and not entry["draining"]:
                    slots.setdefault(entry["server"].rsplit("/", 1)[0], []).append(entry["slots"])
            return all(max(counts) <= 1.2 * sum(counts) / len(counts) for counts in slots.values())

        wait_until("balanced slots", balanced, seconds)

    def owner(self, service, key):
        return get_json(self.live_instances()[0].admin_address, f"/v1/owner?service={service}&key={key}")

    def start_load(self, name, instances=None, **options):
        """Starts the load tool and returns its process; finish_load() returns the results."""
        addresses = [instance.advertised_caller_address for instance in (instances or self.instances)]
        command = [self.standin_path("load_tool/load_tool"), *[f"--instance={address}" for address in addresses],
                   *[f"--journal={journal}" for journal in self.journals],
                   *[f"--{option.replace('_', '-')}={value}" for option, value in options.items()],
                   f"--json={self.directory / name}.json", f"--html={self.directory / name}.html"]
        return self.spawn(f"load-{name}", *command)

    def finish_load(self, process, seconds):
        """Waits for the load tool to exit. Returns its summary, with exit_code added."""
        try:
            code = process.child.wait(seconds)
        except subprocess.TimeoutExpired:
            process.kill()
            raise TimeoutError(f"{process.name} did not end within {seconds} s") from None
        path = self.directory / f"{process.name.removeprefix('load-')}.json"
        if not os.path.exists(path):
            raise RuntimeError(f"{process.name} wrote no results; see {process.log_path}")
        summary = json.loads(path.read_text())
        summary["exit_code"] = code
        return summary


def start_example_cluster(cluster, servers=6, instances=3, run_us=500, **options):
    """Starts the services of examples/vratnik: tracking on `servers` servers in three zones, and credit on one server.

    Returns when all servers are up and the slots are balanced.
    """
    cluster.start_platform()
    for index in range(servers):
        cluster.add_server("vratnik.tracking", f"drum-{index + 1:02}", ZONES[index % 3], run_us=run_us, **options)
    cluster.add_server("vratnik.credit", "ledger-01", ZONES[0], divided=False, run_us=run_us)
    cluster.start_instances(instances)
    publish_example_endpoints(cluster)
    cluster.wait_until_served()
    cluster.wait_until_balanced()


def publish_example_endpoints(cluster):
    cluster.publish_example("vratnik", {
        "tracking_endpoints": [s.definition() for s in cluster.servers if s.service == "vratnik.tracking"],
        "credit_endpoints": [s.definition() for s in cluster.servers if s.service == "vratnik.credit"]})
