"""A small fleet for each test, a load on it, and the judgement at its end.

No test judges by time: waits are on conditions, and their limits only end a test that hangs.
"""

import json
import os
import shutil
import sys
import tempfile
import unittest

from scripts.fleet.deployments import CallerClass, Deployment, Service
from scripts.fleet.fleet import Fleet, boot_time_us, call, wait_for
from tests.process import records
from tests.process.caller import DEADLINE_MS, Caller, succeeded

PROGRAMS = os.environ.get("RUNSHELF_PROGRAMS", "build/bin")

SLOTS = 64
PROBED_KEYS = 48
GRANT_SECONDS = 0.9
MAX_PAUSE_SECONDS = 5.0  # Beyond it a daemon gives up its identity.
LIMIT_SECONDS = 90  # Of each wait, against hanging.
STOP_TIMEOUT_MS = 60000  # A planned stop that takes longer is cut short and fails its test.
LOAD_SECONDS = 600  # Loads are ended long before.

DEPLOYMENT = Deployment(
    name="process",
    zones=2,
    services=(
        Service("feedread", 4, keyed=True, write_share=0.5, load_weight=2),
        Service("dispatch", 2, keyed=False, write_share=0.6, load_weight=1),
    ),
    classes=(
        CallerClass("newsroom", 20, 1),
        CallerClass("issuer", 10, 1),
    ),
)
KEYED, UNKEYED = DEPLOYMENT.services

# Moves for the sake of balance would hide which moves a fault caused.
WITHOUT_BALANCING = {"rebalance_threshold": 100.0}


class Load:
    """runshelf-load in the background, until it is told to end."""

    def __init__(self, fleet, result_file, name, rate):
        arguments = ["--result", result_file, "--name", name, "--rate", str(rate)]
        arguments += ["--seconds", str(LOAD_SECONDS), "--deadline-ms", str(DEADLINE_MS)]
        arguments += ["--threads", "256", "--duplicate", "0.02"]
        for machine in fleet.machines:
            arguments += ["--endpoint", machine.http_address]
        for service in fleet.deployment.services:
            kind = "keyed" if service.keyed else "any"
            mix = f"{service.name}:{kind}:{service.write_share}:{service.load_weight}"
            arguments += ["--service", mix]
        for caller_class in fleet.deployment.classes:
            arguments += ["--class", f"{caller_class.name}:{caller_class.load_weight}"]
        self.result_file = result_file
        self._child = fleet.run("runshelf-load", arguments, name)

    def stop(self):
        """Ends it, waits for the calls under way, and returns all attempts."""
        self._child.terminate()
        if self._child.wait(LIMIT_SECONDS) != 0:
            raise AssertionError("runshelf-load failed:\n" + self._child.log_tail())
        with open(self.result_file, encoding="utf-8") as lines:
            return [json.loads(line) for line in lines]


class ProcessTest(unittest.TestCase):
    """Starts platform, servers and daemons for each test, and ends them after it."""

    SETTINGS = {}  # Of every daemon, over the fleet's own.

    def run(self, result=None):
        """Keeps the logs and records of a test that failed."""
        result = result or self.defaultTestResult()
        before = len(result.failures) + len(result.errors)
        self.directory = tempfile.mkdtemp(prefix="runshelf-process-")
        super().run(result)
        if len(result.failures) + len(result.errors) > before:
            print(f"logs and records are in {self.directory}", file=sys.stderr)
        else:
            shutil.rmtree(self.directory, ignore_errors=True)
        return result

    def setUp(self):
        settings = {"slots_per_service": SLOTS, "stop_timeout_ms": STOP_TIMEOUT_MS}
        settings.update(self.SETTINGS)
        self.fleet = Fleet(DEPLOYMENT, PROGRAMS, self.directory, settings)
        self.addCleanup(self.fleet.kill_all)
        self.caller = Caller(self.path("probes.jsonl"))
        self.results = [self.caller.result_file]
        self.ended = {}  # Node to the instant at which its server alone was ended.
        self.fleet.start()
        self.fleet.import_table()
        self.await_served()

    def path(self, name):
        return os.path.join(self.directory, name)

    def wait_for(self, condition, what):
        wait_for(condition, what, LIMIT_SECONDS)

    def keyed_machines(self):
        return self.fleet.machines_of(KEYED)

    def start_load(self, rate=60):
        """Returns a load that runs already at every server."""
        name = f"load-{len(self.results)}"
        load = Load(self.fleet, self.path(f"{name}.jsonl"), name, rate)
        self.results.append(load.result_file)
        self.await_executions(self.fleet.machines)
        return load

    def status(self, machine):
        """The daemon's status, or None when it does not answer."""
        answer = call(machine.http_address, "GET", "/status")
        return json.loads(answer[1]) if answer and answer[0] == 200 else None

    def await_executions(self, machines, count=10):
        """Waits until each of these servers has executed that many more requests."""
        before = {machine.node: len(records.executions(machine)) for machine in machines}

        def all_executed():
            return all(
                len(records.executions(machine)) >= before[machine.node] + count
                for machine in machines
            )

        self.wait_for(all_executed, "servers execute requests")

    def await_owned(self, machines):
        """Waits until these machines' servers own every slot between them."""
        self.wait_for(
            lambda: len(records.owners(machines)) == SLOTS, "every slot is owned by a live server"
        )

    def await_served(self, without=()):
        """Waits until machines other than `without` own every slot and serve both services."""
        live = [machine for machine in self.fleet.machines if machine not in without]
        keyed = [machine for machine in live if machine.service == KEYED.name]
        self.await_owned(keyed)
        for index in range(PROBED_KEYS):
            machine = live[index % len(live)]
            key = f"probe-key-{index}"
            self.wait_for(
                lambda m=machine, k=key: succeeded(self.caller.get(m, KEYED.name, k)),
                f"{machine.node} has {key} served",
            )
        for machine in live:
            self.wait_for(
                lambda m=machine: succeeded(self.caller.get(m, UNKEYED.name)),
                f"{machine.node} has {UNKEYED.name} served",
            )

    def await_taking_part(self, machine, since_us):
        """Waits until the server owns slots by a grant accepted after that instant."""

        def owns_again():
            accepted = records.grants(machine)
            return bool(accepted) and accepted[-1]["at_us"] > since_us and bool(
                records.owned_slots(machine)
            )

        self.wait_for(owns_again, f"{machine.node} owns slots again")

    def note_lost(self, machine):
        """The report then knows that connections to this machine may have been cut."""
        self.fleet.lost[machine.node] = boot_time_us()

    def assert_promises_kept(self):
        """Judges all attempts by all execution records, and that nothing ended by itself."""
        self.assertEqual([], self.fleet.unexpected_ends())
        arguments = []
        for result in self.results:
            arguments += ["--result", result]
        for machine in self.fleet.machines:
            arguments += ["--record", machine.record_file]
        for node, at in self.fleet.lost.items():
            arguments += ["--lost", f"{node}={at}"]
        for node, at in self.fleet.planned_stops.items():
            arguments += ["--planned-stop", f"{node}={at}"]
        for node, at in self.ended.items():
            arguments += ["--ended-process", f"{node}={at}"]
        report = self.fleet.run("runshelf-report", arguments, "report")
        code = report.wait(LIMIT_SECONDS)
        self.assertEqual(0, code, report.log_tail(lines=200))
