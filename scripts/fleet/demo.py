"""The demo: a fleet under load loses a machine, and the report judges what happened."""

import argparse
import json
import os
import shutil
import signal
import sys
import tempfile
import time

from scripts.fleet.deployments import DEPLOYMENTS
from scripts.fleet.fleet import Fleet, FleetError

EXIT_PROMISE_BROKEN = 1
EXIT_FLEET_FAILED = 3

DEADLINE_MS = 2000
WARM_UP_LIMIT = 60  # Rounds of one second until all calls succeed.
PAUSE_SECONDS = 6  # Longer than any grant.


def fault_machine_loss(fleet, victim):
    """The machine of one owner is lost: server and daemon end at once."""
    fleet.lose(victim)


def fault_machine_pause(fleet, victim):
    """The machine of one owner is paused for longer than any grant, and returns."""
    fleet.freeze(victim)
    time.sleep(PAUSE_SECONDS)
    fleet.thaw(victim)


def fault_planned_stop(fleet, victim):
    """The machine of one owner is stopped as planned."""
    fleet.retire(victim)


def fault_platform_outage(fleet, victim):
    """The platform goes away, then the machine of one owner is lost."""
    fleet.set_platform_outage(True)
    time.sleep(1)
    fleet.lose(victim)


def fault_none(_fleet, _victim):
    """Nothing fails."""


FAULTS = {
    "machine-loss": fault_machine_loss,
    "machine-pause": fault_machine_pause,
    "planned-stop": fault_planned_stop,
    "platform-outage": fault_platform_outage,
    "none": fault_none,
}


def parse_arguments():
    parser = argparse.ArgumentParser(
        prog="scripts/demo",
        description="Runs a fleet under load, makes something fail, and judges the promises.",
        epilog="example: scripts/demo --deployment lagesse --fault machine-pause",
    )
    parser.add_argument("--deployment", choices=sorted(DEPLOYMENTS), default="himalwire")
    parser.add_argument("--small", action="store_true", help="fewer workers")
    parser.add_argument("--fault", choices=sorted(FAULTS), default="machine-loss")
    parser.add_argument("--seconds", type=int, default=20, help="length of the load, default 20")
    parser.add_argument("--rate", type=int, default=300, help="calls a second, default 300")
    parser.add_argument("--zipf", type=float, default=0.0, help="exponent of the keys' skew")
    parser.add_argument("--seed", type=int, default=1, help="seed of the calls")
    parser.add_argument("--keep", action="store_true", help="keep logs and records")
    parser.add_argument("--programs", default="build/bin", help=argparse.SUPPRESS)
    return parser.parse_args()


def load_arguments(fleet, result_file, name, seconds, rate, seed):
    """Flags that all loads have in common."""
    arguments = ["--result", result_file, "--name", name, "--seconds", str(seconds)]
    arguments += ["--rate", str(rate), "--seed", str(seed), "--deadline-ms", str(DEADLINE_MS)]
    arguments += ["--threads", "256"]
    for service in fleet.deployment.services:
        kind = "keyed" if service.keyed else "any"
        mix = f"{service.name}:{kind}:{service.write_share}:{service.load_weight}"
        arguments += ["--service", mix]
    for caller_class in fleet.deployment.classes:
        arguments += ["--class", f"{caller_class.name}:{caller_class.load_weight}"]
    return arguments


def through_daemons(fleet):
    arguments = []
    for machine in fleet.machines:
        arguments += ["--endpoint", machine.http_address]
    return arguments


def straight_to_servers(fleet):
    arguments = ["--direct"]
    for machine in fleet.machines:
        arguments += ["--endpoint", f"{machine.service}={machine.server_address}"]
    return arguments


class Demo:
    """One run, step by step."""

    def __init__(self, options, fleet, directory):
        self.options = options
        self.fleet = fleet
        self.directory = directory
        self.results = []

    def run(self):
        """Returns the exit code."""
        self._say(f"starting {len(self.fleet.machines)} machines of {self.fleet.deployment.name}")
        self.fleet.start()
        self.fleet.import_table()
        self._warm_up()
        self._measure_direct_calls()
        self._load_with_fault()
        unexpected = self.fleet.unexpected_ends()
        self.fleet.stop()
        code = self._report()
        if unexpected:
            self._say("ended without being asked: " + " ".join(unexpected))
        if self.fleet.killed_at_stop:
            self._say("did not stop when asked: " + " ".join(self.fleet.killed_at_stop))
        if unexpected or self.fleet.killed_at_stop:
            code = code or EXIT_PROMISE_BROKEN
        return code

    def _warm_up(self):
        """Sends calls until each service answers all of them: every slot has its owner."""
        started = time.monotonic()
        for attempt in range(WARM_UP_LIMIT):
            result = self._result_file(f"warm-up-{attempt}")
            arguments = load_arguments(self.fleet, result, f"warm{attempt}", 1, 200, attempt + 1)
            self._run_load(arguments + through_daemons(self.fleet) + ["--warm-up"])
            if self._all_succeeded(result):
                self._say(f"all services answer after {time.monotonic() - started:.1f} s")
                return
        raise FleetError("not all services answer:\n" + self._last_failures(result))

    def _measure_direct_calls(self):
        self._say("measuring direct calls to the servers")
        result = self._result_file("direct")
        arguments = load_arguments(
            self.fleet, result, "direct", 5, self.options.rate, self.options.seed
        )
        self._run_load(arguments + straight_to_servers(self.fleet))

    def _load_with_fault(self):
        options = self.options
        victim = self.fleet.machines_of(self.fleet.keyed_service())[1]
        result = self._result_file("load")
        arguments = load_arguments(
            self.fleet, result, "load", options.seconds, options.rate, options.seed
        )
        arguments += through_daemons(self.fleet)
        arguments += ["--zipf", str(options.zipf), "--abandon", "0.005", "--duplicate", "0.02"]
        self._say(f"load: {options.rate} calls a second for {options.seconds} s")
        load = self.fleet.run("runshelf-load", arguments, "load")
        time.sleep(options.seconds * 0.4)
        self._say(f"fault: {options.fault} ({victim.node})")
        FAULTS[options.fault](self.fleet, victim)
        self._await_load(load, options.seconds + 60)

    def _run_load(self, arguments):
        load = self.fleet.run("runshelf-load", arguments, "load")
        self._await_load(load, 60)

    def _await_load(self, load, seconds):
        if load.wait(seconds) != 0:
            raise FleetError("runshelf-load failed:\n" + load.log_tail())

    def _report(self):
        arguments = []
        for result in self.results:
            arguments += ["--result", result]
        for machine in self.fleet.machines:
            if os.path.exists(machine.record_file):
                arguments += ["--record", machine.record_file]
        for node, lost_at in self.fleet.lost.items():
            arguments += ["--lost", f"{node}={lost_at}"]
        for node, stopped_at in self.fleet.planned_stops.items():
            arguments += ["--planned-stop", f"{node}={stopped_at}"]
        report = self.fleet.run("runshelf-report", arguments, "report")
        code = report.wait(120)
        with open(report.log_file, encoding="utf-8") as text:
            print(text.read(), flush=True)
        return EXIT_FLEET_FAILED if code is None else code

    def _result_file(self, name):
        path = os.path.join(self.directory, f"{name}.jsonl")
        self.results.append(path)
        return path

    @staticmethod
    def _failures(result):
        with open(result, encoding="utf-8") as lines:
            attempts = [json.loads(line) for line in lines]
        return [a for a in attempts if not 200 <= a["status"] < 300 or a["wrong_answer"]]

    def _all_succeeded(self, result):
        return os.path.getsize(result) > 0 and not self._failures(result)

    def _last_failures(self, result):
        failures = self._failures(result)[:5]
        return "\n".join(json.dumps(failure) for failure in failures)

    @staticmethod
    def _say(text):
        print(f"demo: {text}", flush=True)


def end_on_signals():
    """Turns signals into an ordinary exit, so that `with` blocks still clean up."""

    def leave(number, _frame):
        sys.exit(128 + number)

    for number in (signal.SIGINT, signal.SIGTERM, signal.SIGHUP):
        signal.signal(number, leave)


def main():
    options = parse_arguments()
    end_on_signals()
    deployment = DEPLOYMENTS[options.deployment]
    if options.small:
        deployment = deployment.smaller()
    directory = tempfile.mkdtemp(prefix="runshelf-demo-")
    try:
        with Fleet(deployment, options.programs, directory) as fleet:
            return Demo(options, fleet, directory).run()
    except FleetError as error:
        print(f"demo: {error}", file=sys.stderr)
        return EXIT_FLEET_FAILED
    finally:
        if options.keep:
            print(f"demo: logs and records are in {directory}")
        else:
            shutil.rmtree(directory, ignore_errors=True)


if __name__ == "__main__":
    sys.exit(main())
