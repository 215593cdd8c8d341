"""Signals that reach a sidecar before it has read its settings."""

import os
import signal
import subprocess
import tempfile
import unittest

PROGRAM = os.path.join(os.environ.get("RUNSHELF_PROGRAMS", "build/bin"), "runshelf")
BAD_SETTINGS_STATUS = 2
LIMIT_SECONDS = 20


class SignalWhileStartingTest(unittest.TestCase):
    """The settings come through a pipe, so that the process waits where the test wants it."""

    def status_after(self, signal_number):
        """Of a process that gets the signal while it reads settings that turn out to be broken."""
        with tempfile.TemporaryDirectory(prefix="runshelf-starting-") as directory:
            pipe = os.path.join(directory, "settings")
            os.mkfifo(pipe)
            with subprocess.Popen(
                [PROGRAM, "--settings", pipe], stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL
            ) as process:
                self.addCleanup(process.kill)
                with open(pipe, "wb") as settings:  # Waits for the reader.
                    process.send_signal(signal_number)
                    settings.write(b"{")
                return process.wait(LIMIT_SECONDS)

    def test_signal_does_not_end_it(self):
        """Guards against a reload that ends a process which has not set its handlers yet."""
        for signal_number in (signal.SIGHUP, signal.SIGTERM, signal.SIGINT):
            with self.subTest(signal=signal_number):
                self.assertEqual(BAD_SETTINGS_STATUS, self.status_after(signal_number))
