"""Processes that are paused and return as though nothing had happened."""

import signal
import time
import unittest

from scripts.fleet.fleet import boot_time_us
from tests.process.support import GRANT_SECONDS, MAX_PAUSE_SECONDS, ProcessTest

# Longer than any grant; the pauses themselves also last until others serve the slots.
PAUSE_SECONDS = 3.0
assert PAUSE_SECONDS > 2 * GRANT_SECONDS
LONG_PAUSE_SECONDS = MAX_PAUSE_SECONDS + 1.5


class PauseTest(ProcessTest):
    """SIGSTOP under load for longer than any grant, then SIGCONT."""

    def setUp(self):
        super().setUp()
        self.load = self.start_load()
        self.victim = self.keyed_machines()[1]

    def pause(self, children, seconds):
        """Returns the instant at which the processes went on."""
        self.note_lost(self.victim)
        for child in children:
            child.send(signal.SIGSTOP)
        stopped = time.monotonic()
        others = [m for m in self.keyed_machines() if m is not self.victim]
        self.await_owned(others)
        time.sleep(max(0.0, stopped + seconds - time.monotonic()))
        resumed_us = boot_time_us()
        for child in children:
            child.send(signal.SIGCONT)
        return resumed_us

    def check_return(self, resumed_us):
        self.await_taking_part(self.victim, resumed_us)
        self.await_executions([self.victim])
        self.await_served()
        self.load.stop()
        self.assert_promises_kept()

    def test_server_paused(self):
        self.check_return(self.pause([self.victim.server], PAUSE_SECONDS))

    def test_daemon_paused(self):
        self.check_return(self.pause([self.victim.daemon], PAUSE_SECONDS))

    def test_machine_paused(self):
        self.check_return(self.pause([self.victim.server, self.victim.daemon], PAUSE_SECONDS))

    def test_daemon_paused_beyond_its_identity(self):
        before = self.status(self.victim)["instance"]
        resumed_us = self.pause([self.victim.daemon], LONG_PAUSE_SECONDS)
        self.wait_for(lambda: self.joined_anew(before), "the daemon joins under a new identity")
        self.check_return(resumed_us)

    def joined_anew(self, former_instance):
        """Whether another daemon counts the victim's new instance as live, and not the former."""
        own = self.status(self.victim)
        other = self.status(self.keyed_machines()[0])
        if own is None or other is None:
            return False
        live = {node["instance"] for node in other["nodes"]}
        new_instance = own["instance"]
        return new_instance != former_instance and new_instance in live


if __name__ == "__main__":
    unittest.main()
