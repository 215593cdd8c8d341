"""What the servers themselves recorded: accepted grants and executions."""

import json

from scripts.fleet.fleet import boot_time_us


def read_record(machine):
    """All entries of a server's record; a last line that a kill cut short is passed over."""
    try:
        with open(machine.record_file, encoding="utf-8") as lines:
            texts = lines.read().split("\n")
    except FileNotFoundError:
        return []
    # After the last line end there is nothing, or a line that is not whole.
    return [json.loads(text) for text in texts[:-1]]


def _slots_of(grant):
    return {slot for first, last in grant["slots"] for slot in range(first, last + 1)}


def grants(machine):
    return [entry for entry in read_record(machine) if entry["kind"] == "grant"]


def executions(machine):
    return [entry for entry in read_record(machine) if entry["kind"] == "execution"]


def owned_slots(machine):
    """The slots that the server may serve now, by the last grant that it accepted."""
    accepted = grants(machine)
    if not accepted or accepted[-1]["expires_at_us"] <= boot_time_us():
        return set()
    return _slots_of(accepted[-1])


def owners(machines):
    """Slot to the node whose server may serve it now."""
    return {slot: machine.node for machine in machines for slot in owned_slots(machine)}


def owners_since(machines, instant_us):
    """Slot to all nodes whose servers accepted a grant of it from that instant on."""
    found = {}
    for machine in machines:
        for grant in grants(machine):
            if grant["at_us"] >= instant_us:
                for slot in _slots_of(grant):
                    found.setdefault(slot, set()).add(machine.node)
    return found


def executions_of(machines, call):
    """Names of the servers that executed the call, once for each time."""
    suffix = f"?call={call}"
    return [
        machine.node
        for machine in machines
        for execution in executions(machine)
        if execution["path"].endswith(suffix)
    ]
