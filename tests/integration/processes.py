"""Child processes, addresses and HTTP calls of the integration tests."""
import json
import os
import random
import signal
import socket
import subprocess
import sys
import time
import urllib.error
import urllib.request

# CTest and timeout send SIGTERM at their time limit; without a handler the child processes would keep running.
signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))


def free_port(used=set()):
    """Returns a port below the ephemeral range that nothing listens on and that this program has not returned before."""
    while True:
        port = random.randint(10000, 31999)
        if port in used:
            continue
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        used.add(port)
        return port


def free_address():
    return f"127.0.0.1:{free_port()}"


def http(method, address, path, body=None, headers=None, timeout=5.0):
    """Returns (status, header fields, body text). An HTTP error status is returned, not raised."""
    data = body if body is None or isinstance(body, bytes) else (body if isinstance(body, str) else json.dumps(body)).encode()
    request = urllib.request.Request(f"http://{address}{path}", data=data, method=method, headers=headers or {})
    try:
        with urllib.request.urlopen(request, timeout=timeout) as reply:
            return reply.status, reply.headers, reply.read().decode()
    except urllib.error.HTTPError as error:
        return error.code, error.headers, error.read().decode()


def get_json(address, path, timeout=5.0):
    status, _, text = http("GET", address, path, timeout=timeout)
    if status != 200:
        raise RuntimeError(f"GET {address}{path}: status {status}: {text[:200]}")
    return json.loads(text)


def wait_until(what, condition, seconds):
    """Polls condition until it returns true. Raises TimeoutError, whose message has the last exception that condition raised."""
    end = time.monotonic() + seconds
    last = None
    while time.monotonic() < end:
        try:
            if condition():
                return
        except (OSError, RuntimeError, ValueError) as error:
            last = error
        time.sleep(0.02)
    raise TimeoutError(f"{what} did not happen within {seconds} s; last error: {last}")


class Process:
    """One child process whose output goes to a log file."""

    def __init__(self, name, command, log_directory):
        self.name = name
        self.command = [str(part) for part in command]
        self.log_path = os.path.join(log_directory, f"{name.replace('/', '_')}.log")
        self.child = None
        self.start()

    def start(self):
        with open(self.log_path, "ab") as log:
            self.child = subprocess.Popen(self.command, stdout=log, stderr=log, stdin=subprocess.DEVNULL)

    def log(self):
        with open(self.log_path, encoding="utf-8", errors="replace") as log:
            return log.read()

    def running(self):
        return self.child.poll() is None

    def send_signal(self, number):
        if self.running():
            os.kill(self.child.pid, number)

    def kill(self):
        self.send_signal(signal.SIGKILL)
        self.child.wait(10)

    def pause(self):
        self.send_signal(signal.SIGSTOP)

    def resume(self):
        self.send_signal(signal.SIGCONT)

    def terminate(self, seconds=15):
        """Sends SIGTERM and returns the exit code. Kills the process and raises TimeoutError if it does not exit in time."""
        self.send_signal(signal.SIGTERM)
        try:
            return self.child.wait(seconds)
        except subprocess.TimeoutExpired:
            self.kill()
            raise TimeoutError(f"{self.name} did not end within {seconds} s") from None

    def cpu_seconds(self):
        """Returns the user and system time used so far, in seconds."""
        with open(f"/proc/{self.child.pid}/stat", encoding="ascii") as stat:
            fields = stat.read().rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")
