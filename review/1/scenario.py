"""A worker ends silently, and its address goes to a worker of another service."""

import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from standins import *  # noqa: E402,F403

REUSE_AFTER_S = 2.2  # More than reuse_after_s.


async def call_now_and_then(sidecar, record, prefix, sent, number):
    client, draw = Client(sidecar.outbound, record), random.Random(number)
    while True:
        attempt = f"{draw.getrandbits(64):016x}"
        sent[attempt] = prefix
        await client.send(f"{prefix}{number}", "h.example", attempt=attempt, method="POST", body=b"order",
                          deadline_ms=1500)
        await asyncio.sleep(0.1)


async def scenario(fleet, record, trouble):
    await fleet.begin()
    for service, zone in [(service, zone) for service in ("orders", "billing") for zone in ZONES]:
        await fleet.add(service, zone, work=0.1)
    routes = [{"name": name, "host": "h.example", "path_prefix": f"/{name}/", "service": name,
               "kind": "non_idempotent", "max_attempts": 1, "timeout_ms": 2000, "target_latency_ms": 800,
               "priority": 1} for name in ("orders", "billing")]
    services = [{"name": name, "health_check_path": "/health", "max_connections": MAX_CONNECTIONS, "sharded": False}
                for name in ("orders", "billing")]
    fleet.store.put("op/config", configuration(5, routes, services))
    assert await fleet.start(), "the sidecars did not become ready"
    await asyncio.sleep(4)
    sent, callers = {}, []
    for number, sidecar in enumerate(fleet.sidecars):
        for index, prefix in enumerate(("/orders/", "/orders/", "/orders/", "/billing/")):
            callers.append(fleet.run(call_now_and_then(sidecar, record, prefix, sent, 10 * number + index)))
    await asyncio.sleep(3)
    ended = fleet.workers[0]
    if trouble:
        ended.fall_silent()
        await asyncio.sleep(REUSE_AFTER_S)
        ended.close()
        if os.environ.get("SETTINGS", "1") != "0":
            fleet.sidecars[0].change_service("billing")
        await fleet.replace(0, "billing")
    await asyncio.sleep(8)
    for caller in callers:
        caller.cancel()
    await asyncio.sleep(0.2)
    wrong = [(worker.service, attempt) for worker in [ended, *fleet.workers] for _, attempt, _ in worker.runs
             if sent.get(attempt) != f"/{worker.service}/"]
    for service, attempt in sorted(set(wrong)):
        record.write(f"the service {service} ran {attempt}, sent to {sent.get(attempt)}")
    record.write(f"{len(set(wrong))} of {len(sent)} requests ran in a service that no configuration allows for them")
    return 1 if wrong else 0


play(os.path.dirname(os.path.abspath(__file__)), scenario)
