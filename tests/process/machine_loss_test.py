"""Processes that are killed under load."""

import unittest

from scripts.fleet.fleet import boot_time_us
from tests.process import records
from tests.process.support import WITHOUT_BALANCING, ProcessTest


class LossTest(ProcessTest):
    """A keyed machine under load, or a part of it, ends at once without notice."""

    def setUp(self):
        super().setUp()
        self.load = self.start_load()
        self.victim = self.keyed_machines()[1]
        self.survivors = [m for m in self.keyed_machines() if m is not self.victim]

    def finish(self):
        self.await_executions(self.survivors)
        self.load.stop()
        self.assert_promises_kept()


class MachineLossTest(LossTest):
    """The whole machine is lost for good."""

    SETTINGS = WITHOUT_BALANCING

    def assert_only_slots_of_victim_moved(self, before, since_us):
        for slot, nodes in records.owners_since(self.survivors, since_us).items():
            if before[slot] != self.victim.node:
                self.assertEqual({before[slot]}, nodes, f"slot {slot} moved")

    def test_machine_killed(self):
        before = records.owners(self.keyed_machines())
        started_us = boot_time_us()
        self.fleet.lose(self.victim)
        self.await_served(without=[self.victim])
        self.finish()
        self.assert_only_slots_of_victim_moved(before, started_us)


class ProcessLossTest(LossTest):
    """One of the two processes ends and is started again; balancing gives it slots again."""

    def test_daemon_killed(self):
        self.victim.daemon.kill()
        self.note_lost(self.victim)
        self.await_served(without=[self.victim])
        restarted_us = boot_time_us()
        self.fleet.start_daemon(self.victim)
        self.await_taking_part(self.victim, restarted_us)
        self.await_executions([self.victim])
        self.finish()

    def test_server_killed(self):
        self.ended[self.victim.node] = boot_time_us()
        self.victim.server.kill()
        self.note_lost(self.victim)
        self.await_owned(self.survivors)
        self.await_served(without=[self.victim])
        restarted_us = boot_time_us()
        self.fleet.start_server(self.victim)
        self.await_taking_part(self.victim, restarted_us)
        self.await_executions([self.victim])
        self.finish()


if __name__ == "__main__":
    unittest.main()
