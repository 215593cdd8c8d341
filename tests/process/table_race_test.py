"""Two operators who edit the table at the same time, with answers of the platform lost."""

import re
import threading
import unittest

from scripts.fleet.fleet import call
from tests.process.caller import succeeded
from tests.process.operators import (
    EXIT_ACCEPTED,
    EXIT_NOT_ACCEPTED,
    EXIT_REFUSED,
    EXIT_UNDETERMINED,
    Operator,
)
from tests.process.support import DEPLOYMENT, KEYED, UNKEYED, ProcessTest

CONTESTED_CLASS = "newsroom"
LEAST_ROUNDS = 6
MOST_ROUNDS = 60  # Conflicts come far earlier; this only ends a test that never meets one.
HIGH_LIMIT = 100000  # Never reached.
FAULTS = {"delay_ms": 20, "lose_answers_probability": 0.3}
NO_FAULTS = {"delay_ms": 0, "lose_answers_probability": 0}

HISTORY_EDIT = re.compile(r"^\S+ revision=(\d+) edit=(\S+) author=(\S+)$")
HISTORY_CHANGE = re.compile(r"^  (\S+)/(\S+): weight (\d+), (?:no limit|limit (\d+))$")


def parse_history(text):
    """Author to (revision, cell, value) of each accepted edit of one cell, oldest first."""
    found = {}
    lines = text.splitlines()
    for head, change in zip(lines, lines[1:]):
        edit = HISTORY_EDIT.match(head)
        cell = HISTORY_CHANGE.match(change)
        if edit and cell:
            limit = int(cell.group(4)) if cell.group(4) else None
            value = {"weight": int(cell.group(3)), "limit": limit}
            found[edit.group(3)] = (int(edit.group(1)), cell.group(1, 2), value)
    return dict(sorted(found.items(), key=lambda entry: entry[1][0]))


class RevisionWatch:
    """Asks every daemon again and again which table revision it has in force."""

    def __init__(self, test, machines):
        self._test = test
        self._machines = machines
        self._revisions = {machine.node: [] for machine in machines}
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def stop(self):
        """Returns the revisions that each daemon had, in order."""
        self._stopping.set()
        self._thread.join()
        return self._revisions

    def _run(self):
        while not self._stopping.wait(0.05):
            for machine in self._machines:
                status = self._test.status(machine)
                if status:
                    self._revisions[machine.node].append(status["table_revision"])


class TableRaceTest(ProcessTest):
    """Every edit ends as it was told, for everyone, and for good."""

    def setUp(self):
        super().setUp()
        self.edits = []
        self.new_classes = []

    def set_faults(self, faults):
        self.assertEqual(200, call(self.fleet.platform_address, "POST", "/faults", faults)[0])

    def race(self, round_number):
        """Two edits of one cell and two of different cells, all at the same time."""

        def start(suffix, service, caller_class, **changes):
            operator = Operator(self.fleet, f"{suffix}-{round_number}")
            return operator.start_set(service, caller_class, **changes)

        weight = 1 + round_number
        first_class, second_class = (f"{name}-{round_number}" for name in ("left", "right"))
        started = [
            start("weight", KEYED.name, CONTESTED_CLASS, weight=weight),
            start("limit", KEYED.name, CONTESTED_CLASS, limit=HIGH_LIMIT + round_number),
            start("left", UNKEYED.name, first_class, weight=weight),
            start("right", UNKEYED.name, second_class, weight=weight),
        ]
        self.edits += [edit.finish() for edit in started]
        self.new_classes += [first_class, second_class]

    def conflicts(self):
        return [edit for edit in self.edits if edit.exit_code == EXIT_REFUSED]

    def test_edits_end_as_told(self):
        watch = RevisionWatch(self, self.fleet.machines)
        self.set_faults(FAULTS)
        for round_number in range(MOST_ROUNDS):
            self.race(round_number)
            if round_number + 1 >= LEAST_ROUNDS and self.conflicts():
                break
        self.set_faults(NO_FAULTS)
        self.assertTrue(self.conflicts(), "no two edits met")

        operator = Operator(self.fleet, "reader")
        history = parse_history(operator.read("history"))
        self.check_exit_codes(history)
        table = self.check_values(history)
        self.check_export(table, operator.read("export"))
        self.check_in_force(history)
        for node, revisions in watch.stop().items():
            self.assertEqual(sorted(revisions), revisions, f"{node} went back")
        self.assert_promises_kept()

    def check_exit_codes(self, history):
        """What the operator was told is what the history says."""
        for edit in self.edits:
            accepted = edit.author in history
            if edit.exit_code == EXIT_ACCEPTED:
                self.assertTrue(accepted, edit.text())
            elif edit.exit_code == EXIT_REFUSED:
                self.assertIn("conflict", edit.text())
                self.assertFalse(accepted, edit.text())
                self.assertEqual(CONTESTED_CLASS, edit.caller_class, edit.text())
            elif edit.exit_code == EXIT_NOT_ACCEPTED:
                self.assertFalse(accepted, edit.text())
            else:
                self.assertEqual(EXIT_UNDETERMINED, edit.exit_code, edit.text())

    def check_values(self, history):
        """Each accepted edit keeps what the one before it had set. Returns the final table."""
        changes = {edit.author: edit.changes for edit in self.edits}
        table = {
            (service.name, caller_class.name): {"weight": caller_class.weight, "limit": None}
            for service in DEPLOYMENT.services
            for caller_class in DEPLOYMENT.classes
        }
        for author, (revision, cell, value) in history.items():
            if author not in changes:
                continue
            expected = {"weight": None, "limit": None, **table.get(cell, {}), **changes[author]}
            self.assertEqual(expected, value, f"{author} at revision {revision}")
            table[cell] = value
        return table

    def check_export(self, table, csv):
        rows = {
            f"{service},{caller_class},{value['weight']},{value['limit'] or ''}"
            for (service, caller_class), value in table.items()
        }
        self.assertEqual(rows, set(csv.split()[1:]))

    def check_in_force(self, history):
        last_revision = max(revision for revision, _, _ in history.values())
        created = [
            edit.caller_class
            for edit in self.edits
            if edit.author in history and edit.caller_class in self.new_classes
        ]
        for machine in self.fleet.machines:
            self.wait_for(
                lambda m=machine: (self.status(m) or {}).get("table_revision", 0) >= last_revision,
                f"{machine.node} has revision {last_revision}",
            )
            for caller_class in created:
                attempt = self.caller.get(machine, UNKEYED.name, caller_class=caller_class)
                self.assertTrue(succeeded(attempt), attempt)


if __name__ == "__main__":
    unittest.main()
