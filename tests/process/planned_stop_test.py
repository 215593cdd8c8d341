"""Daemons that are asked to stop, and servers that cut a connection."""

import unittest

from scripts.fleet.fleet import call
from tests.process import records
from tests.process.caller import CONNECT_FAILED
from tests.process.support import KEYED, LIMIT_SECONDS, UNKEYED, WITHOUT_BALANCING, ProcessTest


class PlannedStopTest(ProcessTest):
    """SIGTERM, alone and everywhere at once."""

    SETTINGS = WITHOUT_BALANCING

    def test_daemon_stops_under_load(self):
        load = self.start_load()
        leaver = self.keyed_machines()[1]
        others = [m for m in self.keyed_machines() if m is not leaver]
        before = records.owners(self.keyed_machines())
        self.fleet.retire(leaver)
        self.assertEqual(0, leaver.daemon.wait(LIMIT_SECONDS), leaver.daemon.log_tail())
        self.await_served(without=[leaver])
        after = records.owners(others)
        moved = {slot for slot, node in before.items() if after[slot] != node}
        self.assertEqual({s for s, node in before.items() if node == leaver.node}, moved)
        self.await_executions(others)
        attempts = load.stop()
        self.assert_promises_kept()
        self.assert_no_request_lost(attempts)

    def assert_no_request_lost(self, attempts):
        """A caller whose connection is refused goes to another daemon; all else must succeed."""
        failed = [a for a in attempts if a["status"] != 200 and a["error"] != CONNECT_FAILED]
        self.assertEqual([], failed)

    def test_all_daemons_stop_at_once(self):
        for machine in self.fleet.machines:
            machine.daemon.terminate()
        codes = {m.node: m.daemon.wait(LIMIT_SECONDS) for m in self.fleet.machines}
        self.assertEqual({m.node: 0 for m in self.fleet.machines}, codes)
        self.assert_promises_kept()


class CutConnectionTest(ProcessTest):
    """A server that executes a request and then cuts the connection."""

    def test_request_is_told_to_be_in_doubt_and_not_sent_again(self):
        for service in (KEYED, UNKEYED):
            for machine in self.fleet.machines_of(service):
                self.assertEqual(
                    200, call(machine.server_address, "POST", "/faults", {"lose_answers": 1})[0]
                )
            key = "cut-key" if service.keyed else ""
            attempt = self.caller.post(self.fleet.machines[0], service.name, key)
            self.assertEqual(502, attempt["status"], attempt)
            self.assertEqual("connection_lost", attempt["error"])
            self.assertEqual("may-have-run", attempt["verdict"])
            executed = records.executions_of(self.fleet.machines, attempt["call"])
            self.assertEqual(1, len(executed), executed)
            self.note_lost(self.fleet.machines_of(service)[0])  # Cuts are expected.
        self.assert_promises_kept()


if __name__ == "__main__":
    unittest.main()
