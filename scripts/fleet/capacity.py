"""Processor time and memory of real daemons at rest, by size of the fleet."""

import argparse
import json
import os
import statistics
import sys
import tempfile
import time
from dataclasses import replace

from scripts.fleet.deployments import HIMALWIRE
from scripts.fleet.fleet import Fleet, call, wait_for

TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
SETTLE_SECONDS = 5
STAT_UTIME = 11  # Fields of /proc/<pid>/stat after the name of the program.
STAT_STIME = 12
DATAGRAM_HEADER_BYTES = 28  # IP and UDP, as the hollow nodes are charged.


def cpu_seconds(pid):
    """Processor time that the process has used, user and system."""
    with open(f"/proc/{pid}/stat", encoding="utf-8") as stat:
        fields = stat.read().rpartition(")")[2].split()
    return (int(fields[STAT_UTIME]) + int(fields[STAT_STIME])) / TICKS_PER_SECOND


def status_values(pid):
    """Resident memory in bytes, and threads."""
    with open(f"/proc/{pid}/status", encoding="utf-8") as status:
        values = dict(line.split(":", 1) for line in status if ":" in line)
    return int(values["VmRSS"].split()[0]) * 1024, int(values["Threads"])


def read_status(machine):
    """The daemon's own report; empty when it does not answer."""
    answer = call(machine.http_address, "GET", "/status")
    return json.loads(answer[1]) if answer is not None and answer[0] == 200 else {}


def is_leader(machine):
    return bool(read_status(machine).get("group", {}).get("is_leader"))


def wire_bytes(machine):
    """Control bytes sent and received so far, with the headers of the datagrams."""
    control = read_status(machine)["control"]
    messages = control["datagrams_sent"] + control["posts_sent"] + control["messages_received"]
    return control["bytes_sent"] + control["bytes_received"] + DATAGRAM_HEADER_BYTES * messages


def measure(daemons, programs, seconds):
    """Starts a fleet of so many daemons and measures it without requests."""
    services = tuple(
        replace(service, workers=daemons // len(HIMALWIRE.services))
        for service in HIMALWIRE.services
    )
    with tempfile.TemporaryDirectory() as directory:
        with Fleet(replace(HIMALWIRE, services=services), programs, directory) as fleet:
            fleet.start()
            fleet.import_table()
            wait_for(lambda: any(map(is_leader, fleet.machines)), "a leader")
            time.sleep(SETTLE_SECONDS)
            leaders = [is_leader(machine) for machine in fleet.machines]
            pids = [machine.daemon.pid for machine in fleet.machines]
            before = [cpu_seconds(pid) for pid in pids]
            bytes_before = [wire_bytes(machine) for machine in fleet.machines]
            platform_before = cpu_seconds(fleet.platform.pid)
            began = time.monotonic()
            time.sleep(seconds)
            elapsed = time.monotonic() - began
            cores = [(cpu_seconds(pid) - old) / elapsed for pid, old in zip(pids, before)]
            platform = (cpu_seconds(fleet.platform.pid) - platform_before) / elapsed
            wire = [
                (wire_bytes(machine) - old) / elapsed
                for machine, old in zip(fleet.machines, bytes_before)
            ]
            memory, threads = zip(*map(status_values, pids))
    others = [core for core, leader in zip(cores, leaders) if not leader]
    other_bytes = [rate for rate, leader in zip(wire, leaders) if not leader]
    return {
        "daemons": len(pids),
        "leaders": sum(leaders),
        "seconds": round(elapsed, 2),
        "leader_core": round(max([c for c, leader in zip(cores, leaders) if leader] or [0]), 5),
        "other_core_mean": round(statistics.mean(others), 5),
        "other_core_max": round(max(others), 5),
        "leader_wire_bytes": round(max([w for w, leader in zip(wire, leaders) if leader] or [0])),
        "other_wire_bytes_min": round(min(other_bytes)),
        "other_wire_bytes_max": round(max(other_bytes)),
        "platform_core": round(platform, 5),
        "memory_bytes_mean": round(statistics.mean(memory)),
        "memory_bytes_max": max(memory),
        "threads_max": max(threads),
    }


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--programs", default="build/bin", help="directory of the programs")
    parser.add_argument("--sizes", default="4,8,16,32", help="numbers of daemons, multiples of 4")
    parser.add_argument("--seconds", type=float, default=10, help="measured time of each size")
    parser.add_argument("--output", help="file that receives the results as JSON")
    arguments = parser.parse_args()
    results = []
    for size in map(int, arguments.sizes.split(",")):
        results.append(measure(size, arguments.programs, arguments.seconds))
        print(" ".join(f"{key}={value}" for key, value in results[-1].items()), flush=True)
    if arguments.output:
        with open(arguments.output, "w", encoding="utf-8") as output:
            json.dump({"daemons": results}, output, indent=1)
            output.write("\n")
    return 0


if __name__ == "__main__":
    sys.exit(main())
