"""One caller: sends single requests and notes what it was told, as runshelf-load does."""

import http.client
import json

from scripts.fleet.fleet import boot_time_us

DEADLINE_MS = 20000  # Callers are patient, so that a busy machine changes no verdict.
ANSWER_SLACK_SECONDS = 10

CONNECT_FAILED = "caller_connect_failed"
CONNECTION_LOST = "caller_connection_lost"
TIMEOUT = "caller_timeout"


class Caller:
    """Appends each attempt to a result file that runshelf-report reads."""

    def __init__(self, result_file):
        self.result_file = result_file
        self._calls = 0

    def get(self, machine, service, key="", caller_class="newsroom"):
        """A request that may be repeated, through the daemon of `machine`."""
        return self._send(machine, "GET", service, key, caller_class)

    def post(self, machine, service, key="", caller_class="newsroom"):
        """A request that must not run twice, without an idempotency key."""
        return self._send(machine, "POST", service, key, caller_class)

    def _send(self, machine, method, service, key, caller_class):
        self._calls += 1
        call = f"probe-{self._calls}"
        path = f"/{key or service}?call={call}"
        attempt = {
            "call": call,
            "attempt": 1,
            "service": service,
            "class": caller_class,
            "key": key,
            "idempotency_key": "",
            "repeatable": method == "GET",
            "warm_up": True,
            "direct": False,
            "endpoint": machine.http_address,
            "scheduled_us": boot_time_us(),
            "sent_us": boot_time_us(),
            "status": 0,
            "verdict": "",
            "error": "",
            "request_id": "",
            "wrong_answer": "",
        }
        headers = {"Runshelf-Class": caller_class, "Runshelf-Deadline-Ms": str(DEADLINE_MS)}
        if key:
            headers["Runshelf-Key"] = key
        _exchange(attempt, method, f"/{service}{path}", path, headers)
        attempt["done_us"] = boot_time_us()
        with open(self.result_file, "a", encoding="utf-8") as results:
            results.write(json.dumps(attempt) + "\n")
        return attempt


def succeeded(attempt):
    return attempt["status"] == 200 and not attempt["wrong_answer"]


def _exchange(attempt, method, target, server_path, headers):
    seconds = DEADLINE_MS / 1000 + ANSWER_SLACK_SECONDS
    connection = http.client.HTTPConnection(attempt["endpoint"], timeout=seconds)
    try:
        try:
            connection.connect()
        except OSError:
            attempt["error"] = CONNECT_FAILED
            return
        connection.request(method, target, "" if method == "POST" else None, headers)
        response = connection.getresponse()
        body = response.read()
        attempt["status"] = response.status
        attempt["verdict"] = response.getheader("Runshelf-Verdict", "")
        attempt["request_id"] = response.getheader("Runshelf-Request-Id", "")
        _check_answer(attempt, server_path, body)
    except TimeoutError:
        attempt["error"] = TIMEOUT
    except (OSError, http.client.HTTPException):
        attempt["error"] = CONNECTION_LOST
    finally:
        connection.close()


def _check_answer(attempt, server_path, body):
    try:
        answer = json.loads(body)
    except ValueError:
        answer = {}
    if attempt["status"] != 200:
        attempt["error"] = answer.get("error", "no_error_body")
        attempt["wrong_answer"] = "" if attempt["verdict"] else "no_verdict"
    elif answer.get("path") != server_path:
        attempt["wrong_answer"] = "path_of_another"
    elif answer.get("request_id") != attempt["request_id"]:
        attempt["wrong_answer"] = "request_id_of_another"
    elif attempt["verdict"] != "ran":
        attempt["wrong_answer"] = "success_without_ran"
