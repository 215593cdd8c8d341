"""An operator at the command line: runshelfctl, run to its end."""

import re
from dataclasses import dataclass

from tests.process.support import LIMIT_SECONDS

EXIT_ACCEPTED = 0
EXIT_REFUSED = 1  # Or met a conflict.
EXIT_NOT_ACCEPTED = 3
EXIT_UNDETERMINED = 4


@dataclass
class Edit:
    """One `table set` and what became of it."""

    service: str
    caller_class: str
    changes: dict  # "weight" and "limit", as far as they were given.
    author: str
    child: object
    exit_code: int = None

    def finish(self):
        self.exit_code = self.child.wait(LIMIT_SECONDS)
        return self

    def text(self):
        return self.child.log_tail(lines=50)


class Operator:
    """Sends edits under one author name."""

    def __init__(self, fleet, author):
        self._fleet = fleet
        self._author = author
        self._runs = 0

    def start_set(self, service, caller_class, **changes):
        """Starts an edit without waiting for it."""
        arguments = ["table", "set", service, caller_class]
        for name, value in changes.items():
            arguments += [f"--{name}", str(value)]
        child = self._run(arguments)
        return Edit(service, caller_class, changes, self._author, child)

    def set(self, service, caller_class, **changes):
        return self.start_set(service, caller_class, **changes).finish()

    def read(self, *arguments):
        """The output of a `table` command that only reads, or None when it failed."""
        child = self._run(["table", *arguments])
        return child.log_tail(lines=100000) if child.wait(LIMIT_SECONDS) == 0 else None

    def _run(self, arguments):
        self._runs += 1
        arguments = arguments + ["--platform", self._fleet.platform_address]
        arguments += ["--author", self._author]
        return self._fleet.run("runshelfctl", arguments, f"ctl-{self._author}-{self._runs}")


def accepted_revision(edit):
    """The revision that runshelfctl named, or None when it accepted nothing."""
    found = re.search(r"^accepted edit=\S+ revision=(\d+)", edit.text(), re.MULTILINE)
    return int(found.group(1)) if found else None
