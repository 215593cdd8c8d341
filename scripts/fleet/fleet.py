"""A platform, servers and daemons of one deployment, all on 127.0.0.1."""

import http.client
import json
import os
import random
import signal
import socket
import time
from dataclasses import dataclass

from scripts.fleet.processes import ChildProcess, stop_all

SLOTS_PER_SERVICE = 256
SERVER_SLOTS = 20
SERVICE_TIME_MS = 5
MACHINE_LIST_LAG_MS = 3000
START_SECONDS = 60
STOP_SECONDS = 20
DAEMON_STOP_TIMEOUT_MS = 5000  # When the whole fleet stops, nobody is left to hand over to.


class FleetError(Exception):
    """The fleet did not do what the run needs; the text says what."""


class AddressBook:
    """Hands out free ports of 127.0.0.1, each once, and keeps them from others until closed.

    Ports lie below those that the kernel gives to outgoing connections and to binds of port 0. Each
    stays bound by a socket that never listens: servers may bind it too, since they set SO_REUSEADDR
    as this socket does, but no other AddressBook gets it.
    """

    PORTS = range(10000, 32000)

    def __init__(self):
        self._reservations = []

    def take(self):
        while True:
            port = random.choice(self.PORTS)
            reservation = socket.socket()
            try:
                reservation.bind(("127.0.0.1", port))
            except OSError:
                reservation.close()
                continue
            reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self._reservations.append(reservation)
            with socket.socket(type=socket.SOCK_DGRAM) as udp:
                try:
                    udp.bind(("127.0.0.1", port))
                except OSError:
                    continue
            return f"127.0.0.1:{port}"

    def close(self):
        for reservation in self._reservations:
            reservation.close()
        self._reservations = []


def call(address, method, path, body=None, seconds=2.0):
    """One HTTP call: status and text, or None when there was no answer."""
    connection = http.client.HTTPConnection(address, timeout=seconds)
    try:
        payload = None if body is None else json.dumps(body)
        connection.request(method, path, payload, {"Content-Type": "application/json"})
        response = connection.getresponse()
        return response.status, response.read().decode("utf-8", "replace")
    except (OSError, http.client.HTTPException):
        return None
    finally:
        connection.close()


def wait_for(condition, what, seconds=START_SECONDS):
    """Asks until the condition holds."""
    deadline = time.monotonic() + seconds
    while not condition():
        if time.monotonic() > deadline:
            raise FleetError(f"{what}: not within {seconds} s")
        time.sleep(0.05)


def boot_time_us():
    """CLOCK_BOOTTIME, the clock of the servers' records, in microseconds."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1000


@dataclass
class Machine:
    """A server with the daemon beside it."""

    node: str
    zone: str
    service: str
    server_address: str
    http_address: str
    peer_address: str
    forward_address: str
    record_file: str
    server: ChildProcess = None
    daemon: ChildProcess = None

    def listing(self, state="live"):
        """The machine as the platform lists it."""
        return {"node": self.node, "address": self.peer_address, "zone": self.zone, "state": state}


class Fleet:
    """Everything that one run starts. Use it in a `with` statement: leaving it stops all."""

    def __init__(self, deployment, programs, directory, settings=None):
        """`settings` go over those that every daemon gets."""
        self.deployment = deployment
        self.settings = settings or {}
        self.programs = programs
        self.directory = directory
        self.addresses = AddressBook()
        self.platform_address = self.addresses.take()
        self.platform = None
        self.machines = [
            self._plan(service, index)
            for service in deployment.services
            for index in range(service.workers)
        ]
        self.lost = {}  # Node to the instant at which it was lost or paused, in microseconds.
        self.planned_stops = {}  # Likewise, of planned stops.
        self.killed_at_stop = []
        self._children = []

    def __enter__(self):
        return self

    def __exit__(self, *exception):
        self.stop()

    def start(self):
        """Starts platform, servers and daemons, and waits until each answers."""
        self._start_platform()
        for machine in self.machines:
            self.start_server(machine)
        for machine in self.machines:
            self.start_daemon(machine)
        for machine in self.machines:
            self.await_machine(machine)

    def start_server(self, machine):
        """Starts the machine's server, also anew after it has ended."""
        arguments = [
            "--listen", machine.server_address,
            "--service", machine.service,
            "--name", machine.node,
            "--slots", str(SERVER_SLOTS),
            "--service-time-ms", str(SERVICE_TIME_MS),
            "--record", machine.record_file,
        ]  # fmt: skip
        machine.server = self._spawn("runshelf-server", arguments, f"server-{machine.node}")

    def start_daemon(self, machine):
        """Starts the machine's daemon, also anew after it has ended."""
        settings_file = self._path(f"{machine.node}.toml")
        with open(settings_file, "w", encoding="utf-8") as settings:
            settings.write(self._settings(machine))
        machine.daemon = self._spawn(
            "runshelfd", ["--settings", settings_file], f"daemon-{machine.node}"
        )

    def await_machine(self, machine):
        """Waits until server and daemon answer."""
        self._await_http(machine.server, machine.server_address, "/health")
        self._await_http(machine.daemon, machine.http_address, "/status")

    def add_machine(self, service):
        """Starts a further machine of the service, which the platform does not list yet."""
        machine = self._plan(service, len(self.machines_of(service)))
        self.machines.append(machine)
        self.start_server(machine)
        self.start_daemon(machine)
        self.await_machine(machine)
        return machine

    def list_machine(self, machine):
        """The platform lists the machine as live."""
        self._post_machines({"machines": [machine.listing()]})

    def import_table(self):
        """Loads the operators' table through runshelfctl."""
        table_file = self._path("table.csv")
        with open(table_file, "w", encoding="utf-8") as table:
            table.write(self.deployment.table_csv())
        importer = self._spawn(
            "runshelfctl",
            ["table", "import", table_file, "--platform", self.platform_address],
        )
        if importer.wait(START_SECONDS) != 0:
            raise FleetError("runshelfctl table import failed:\n" + importer.log_tail())

    def run(self, program, arguments, name):
        """Starts a program that ends by itself."""
        return self._spawn(program, arguments, name)

    def keyed_service(self):
        return next(service for service in self.deployment.services if service.keyed)

    def machines_of(self, service):
        return [machine for machine in self.machines if machine.service == service.name]

    def lose(self, machine):
        """Ends server and daemon at once, without notice. The platform's list shows it later."""
        machine.daemon.kill()
        machine.server.kill()
        self.lost[machine.node] = boot_time_us()
        self._post_machines({"remove": [machine.node]})

    def freeze(self, machine):
        """Stops server and daemon as a paused machine would be."""
        machine.daemon.send(signal.SIGSTOP)
        machine.server.send(signal.SIGSTOP)
        self.lost[machine.node] = boot_time_us()

    def thaw(self, machine):
        machine.server.send(signal.SIGCONT)
        machine.daemon.send(signal.SIGCONT)

    def retire(self, machine):
        """A planned stop: the platform lists the machine as leaving, and the daemon is asked to."""
        self._post_machines({"machines": [machine.listing("leaving")]})
        machine.daemon.terminate()
        self.planned_stops[machine.node] = boot_time_us()

    def set_platform_outage(self, outage):
        if call(self.platform_address, "POST", "/faults", {"outage": outage}) is None:
            raise FleetError("the platform does not take faults")

    def unexpected_ends(self):
        """Names of processes that ended though nobody asked them to."""
        return [
            child.name
            for child in self._long_running()
            if not child.is_running() and not child.ended_on_purpose
        ]

    def stop(self):
        """Stops everything: daemons first, so that they can hand over, then the rest."""
        daemons = [machine.daemon for machine in self.machines if machine.daemon]
        self.killed_at_stop += stop_all(daemons, STOP_SECONDS)
        self.killed_at_stop += stop_all(self._children, STOP_SECONDS)
        self._children = []
        self.addresses.close()

    def kill_all(self):
        """Ends everything at once."""
        for child in self._children:
            child.kill()
        self._children = []
        self.addresses.close()

    def _plan(self, service, index):
        node = f"{service.name}-{index + 1}"
        return Machine(
            node=node,
            zone=f"zone-{index % self.deployment.zones + 1}",
            service=service.name,
            server_address=self.addresses.take(),
            http_address=self.addresses.take(),
            peer_address=self.addresses.take(),
            forward_address=self.addresses.take(),
            record_file=self._path(f"{node}.record.jsonl"),
        )

    def _start_platform(self):
        self.platform = self._spawn(
            "runshelf-platform",
            [
                "--listen", self.platform_address,
                "--machine-list-lag-ms", str(MACHINE_LIST_LAG_MS),
            ],
        )  # fmt: skip
        self._await_http(self.platform, self.platform_address, "/machines")
        self._post_machines({"machines": [machine.listing() for machine in self.machines]})

    def _settings(self, machine):
        keyed = [service.name for service in self.deployment.services if service.keyed]
        values = {
            "node": machine.node,
            "zone": machine.zone,
            "group": self.deployment.name,
            "service": machine.service,
            "server_address": machine.server_address,
            "http_address": machine.http_address,
            "peer_address": machine.peer_address,
            "forward_address": machine.forward_address,
            "platform_address": self.platform_address,
            "machine_list_address": self.platform_address,
            "keyed_services": keyed,
            "slots_per_service": SLOTS_PER_SERVICE,
            "server_slots": SERVER_SLOTS,
            "stop_timeout_ms": DAEMON_STOP_TIMEOUT_MS,
        }
        values.update(self.settings)
        # JSON's strings, numbers and arrays of strings are TOML's too.
        return "".join(f"{key} = {json.dumps(value)}\n" for key, value in values.items())

    def _post_machines(self, change):
        answer = call(self.platform_address, "POST", "/machines", change)
        if answer is None or answer[0] != 200:
            raise FleetError(f"the platform refused the list of machines: {answer}")

    def _await_http(self, child, address, path):
        def answers():
            if not child.is_running():
                raise FleetError(f"{child.name} ended at once:\n{child.log_tail()}")
            answer = call(address, "GET", path)
            return answer is not None and answer[0] == 200

        wait_for(answers, f"{child.name} answers {path}")

    def _spawn(self, program, arguments, name=None):
        name = name or program
        command = [os.path.join(self.programs, program)] + arguments
        child = ChildProcess(name, command, self._path(f"{name}.log"))
        self._children.append(child)
        return child

    def _long_running(self):
        children = [self.platform]
        for machine in self.machines:
            children += [machine.server, machine.daemon]
        return [child for child in children if child]

    def _path(self, name):
        return os.path.join(self.directory, name)
