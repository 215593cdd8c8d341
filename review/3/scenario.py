"""A heartbeat of another writer, with bytes that can't be read, while clients wait for answers."""

import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from standins import *  # noqa: E402,F403

ROUNDS = 3
CLIENTS = 8


async def foreign_heartbeat(sidecar, worker, record, trouble):
    """The same body in both cases; with trouble, the id in the path has bytes that can't be read."""
    worker_id = b"i-\xff\xfe\x80" if trouble else worker.id.encode()
    body = json.dumps({**worker.heartbeat(), "call_sequence": 0}).encode()
    data = (b"POST /runshelf/rpc?call=instances.heartbeat&of=" + worker_id +
            f" HTTP/1.1\r\nHost: {sidecar.control_plane}\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(body)}\r\n\r\n".encode() + body)
    record.write(f"another writer sends a heartbeat to {sidecar.name}, id {worker_id!r}")
    try:
        reply = await asyncio.wait_for(send_once(sidecar.control_plane, data), 2)
        record.write(f"another writer gets {reply.status}")
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
        record.write(f"another writer gets no answer ({type(error).__name__})")


async def one_round(fleet, sidecar, worker, record, trouble):
    """Returns how many requests were passed on to a worker and then closed without an answer."""
    clients = [Client(sidecar.outbound, record) for _ in range(CLIENTS)]
    for client in clients:  # Each connection has carried a request before.
        reply = await client.send("/a/warm", "h.example", method="POST", body=b"order")
        assert not isinstance(reply, str) and reply.status == 200, "the deployment does not serve"
    attempts = [f"{random.getrandbits(64):016x}" for _ in clients]
    waiting = [asyncio.ensure_future(client.send("/a/order", "h.example", attempt=attempt, method="POST",
                                                 body=b"order"))
               for client, attempt in zip(clients, attempts)]
    await asyncio.sleep(0.25)
    await foreign_heartbeat(sidecar, worker, record, trouble)
    replies = await asyncio.gather(*waiting)
    began = {attempt for one in fleet.workers for _, attempt, _ in one.runs}
    for client in clients:
        client.close()
    return sum(1 for attempt, reply in zip(attempts, replies) if isinstance(reply, str) and attempt in began)


async def scenario(fleet, record, trouble):
    await fleet.begin()
    for zone in (ZONES[0], ZONES[1], ZONES[0]):
        await fleet.add("orders", zone, work=0.5)
    fleet.store.put("op/config", configuration(
        5, [{"name": "orders", "host": "h.example", "path_prefix": "/a/", "service": "orders",
             "kind": "non_idempotent", "max_attempts": 1, "timeout_ms": 3000, "target_latency_ms": 1500,
             "priority": 1}],
        [{"name": "orders", "health_check_path": "/health", "max_connections": MAX_CONNECTIONS, "sharded": False}]))
    assert await fleet.start(), "the sidecars did not become ready"
    await asyncio.sleep(4)  # Longer than contact_window_ms.
    closed, ends = {}, {}
    for _ in range(ROUNDS):
        for sidecar, worker in list(zip(fleet.sidecars, fleet.workers))[:2]:
            lost = await one_round(fleet, sidecar, worker, record, trouble)
            closed[sidecar.name] = closed.get(sidecar.name, 0) + lost
            await asyncio.sleep(0.2)
            if sidecar.process.returncode is not None:
                ends[sidecar.name] = ends.get(sidecar.name, 0) + 1
                record.write(f"sidecar {sidecar.name} ended by itself, exit code {sidecar.process.returncode}")
                await sidecar.start()
                assert await sidecar.ready(), "the sidecar did not become ready again"
            await asyncio.sleep(4)
    record.write(f"passed on and closed without an answer, by machine: {closed}")
    record.write(f"processes that ended by themselves, by machine: {ends}")
    lost = any(count > 3 for count in closed.values())
    fault = sum(1 for count in ends.values() if count >= 3) >= 2
    return 1 if lost or fault else 0


play(os.path.dirname(os.path.abspath(__file__)), scenario)
