"""Child processes that never outlive the program that started them."""

import ctypes
import signal
import subprocess
import time

_PR_SET_PDEATHSIG = 1
_LIBC = ctypes.CDLL(None, use_errno=True)


def _end_with_parent():
    """Runs in the child: the kernel ends it when the parent is gone, however that ended."""
    _LIBC.prctl(_PR_SET_PDEATHSIG, signal.SIGKILL)


class ChildProcess:
    """One running program with its log file."""

    def __init__(self, name, command, log_file):
        self.name = name
        self.log_file = log_file
        self.ended_on_purpose = False
        with open(log_file, "ab") as log:
            self._process = subprocess.Popen(
                command,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                preexec_fn=_end_with_parent,
            )

    @property
    def pid(self):
        return self._process.pid

    def is_running(self):
        return self._process.poll() is None

    def send(self, signal_number):
        """Sends the signal to this process alone, by its id."""
        if self.is_running():
            self._process.send_signal(signal_number)

    def kill(self):
        """Ends the process as a lost machine would."""
        self.ended_on_purpose = True
        self.send(signal.SIGKILL)
        self._process.wait()

    def terminate(self):
        """Asks the process to end."""
        self.ended_on_purpose = True
        self.send(signal.SIGTERM)

    def wait(self, seconds):
        """The exit code, or None when the process still runs after that time."""
        try:
            return self._process.wait(timeout=seconds)
        except subprocess.TimeoutExpired:
            return None

    def exit_code(self):
        return self._process.poll()

    def log_tail(self, lines=15):
        with open(self.log_file, encoding="utf-8", errors="replace") as log:
            return "".join(log.readlines()[-lines:])


def stop_all(children, seconds):
    """Asks all to stop, waits, kills what is left. Returns the names of those that were killed."""
    for child in children:
        child.send(signal.SIGCONT)
        child.send(signal.SIGTERM)
    deadline = time.monotonic() + seconds
    killed = []
    for child in children:
        if child.wait(max(0.0, deadline - time.monotonic())) is None:
            killed.append(child.name)
            child.kill()
    return killed
