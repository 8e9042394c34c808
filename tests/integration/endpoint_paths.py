"""The network between one instance and the endpoints: a TCP proxy for each endpoint, which a test can cut, and the store as that instance sees it."""
import json
import socket
import threading

from platform_standin import StoreServer
from processes import free_address

BUFFER_SIZE = 65536


class EndpointPath:
    """Passes connections on to one endpoint. cut() makes the endpoint unreachable for the instance that uses this path."""

    def __init__(self, target):
        self.target = target
        self.address = free_address()
        self.lock = threading.Lock()
        self.connections = []
        self.fillers = []
        self.passing = True
        self.listener = self.listen(64)
        self.accepting = True
        threading.Thread(target=self.accept, args=(self.listener,), daemon=True).start()

    @staticmethod
    def split(address):
        host, port = address.split(":")
        return host, int(port)

    def listen(self, backlog):
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(self.split(self.address))
        listener.listen(backlog)
        return listener

    def accept(self, listener):
        while True:
            try:
                client, _ = listener.accept()
                server = socket.create_connection(self.split(self.target))
            except OSError:
                return
            with self.lock:
                self.connections += [client, server]
            for source, sink in ((client, server), (server, client)):
                threading.Thread(target=self.pump, args=(source, sink), daemon=True).start()

    def pump(self, source, sink):
        try:
            while data := source.recv(BUFFER_SIZE):
                if self.passing:
                    sink.sendall(data)
            if self.passing:
                sink.shutdown(socket.SHUT_WR)
        except OSError:
            pass

    def stop_listening(self):
        # A shutdown wakes the thread in accept(), which a close does not.
        self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()

    def cut(self, how):
        """how: `silent` (nothing passes, connects hang), `reset` (connections are reset, new ones refused), `refused` (only new ones are refused)"""
        self.stop_listening()
        self.accepting = False
        if how == "silent":
            self.passing = False
            # With a full accept queue, the kernel ignores further connects.
            self.listener = self.listen(0)
            for _ in range(4):
                filler = socket.socket()
                filler.setblocking(False)
                filler.connect_ex(self.split(self.address))
                self.fillers.append(filler)
        elif how == "reset":
            self.reset_connections()

    def reset_connections(self):
        with self.lock:
            for each in self.connections:
                try:
                    each.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
                    # Wakes the thread that reads from it, which a close does not.
                    each.shutdown(socket.SHUT_RD)
                except OSError:
                    pass
                each.close()
            self.connections = []

    def restore(self):
        for each in self.fillers + [self.listener]:
            each.close()
        self.fillers = []
        self.reset_connections()
        self.passing = True
        self.listener = self.listen(64)
        self.accepting = True
        threading.Thread(target=self.accept, args=(self.listener,), daemon=True).start()

    def close(self):
        if self.accepting:
            self.stop_listening()
        for each in self.fillers + [self.listener]:
            each.close()
        self.reset_connections()


class StoreView(StoreServer):
    """The store for one instance, to which the endpoints are registered at the addresses of its paths."""

    def __init__(self, address, store, endpoints):
        self.paths = {endpoint.address: EndpointPath(endpoint.address) for endpoint in endpoints}
        # The configuration that this instance reads, if it does not get the store's.
        self.configuration = None
        super().__init__(address, store)

    def view(self, topic, value):
        if topic == "keyed.op" and self.configuration:
            return json.dumps(self.configuration).encode()
        if topic != "keyed.servers" or not value:
            return value
        entry = json.loads(value)
        entry["Address"] = self.paths[entry["Address"]].address
        return json.dumps(entry).encode()

    def cut(self, how):
        for path in self.paths.values():
            path.cut(how)

    def restore(self):
        for path in self.paths.values():
            path.restore()

    def close(self):
        super().close()
        for path in self.paths.values():
            path.close()
