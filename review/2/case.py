"""Commands that a client pipelined on a new connection get no answer when idle clients fill the descriptors."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins"))
from standins import (CannotRun, Client, Discovery, Group, Node, Record, Router, frame, now, run_case,
                      statement)

S = 1_000_000_000
# As brisbane-games has them.
SETTINGS = {
    "Allowed": {"AttemptsCap": 6, "Cancel": True, "ConnIdle": 15 * S, "ConnectTimeout": S // 4, "MaxRetryAfter": S // 2,
                "MayTell": False, "MostHeld": 20000, "Multiplex": 1, "Probes": True, "RetryAfter": True,
                "SecondCopies": False},
    "Az": "a", "Balancers": 3, "Me": 0, "Zones": ["a"], "Kinds": ["std3"], "Layer": 0, "Stages": ["game-db"],
    "Callers": {"MarksRetry": True},
    "Contract": {"AnswerSlack": S // 50, "ColdFrom": 0.19, "DrainGrace": S, "MustAskIn": 10 * S,
                 "OverloadFor": 3 * S, "TipMultiple": 4.0, "WarmWithin": 17 * S},
    "Extra": {"Checks": "off", "MaxAge": [800_000_000, 0], "ProgressTold": True, "ReadLevel": ["bounded", "write"],
              "RoleInList": "late", "Sync": False, "Tokens": "carried", "Wait": 0, "Zero": 0},
    "Family": "replicas", "RegistryMode": "subscribe", "Report": {"Columns": ["x0", "x1"], "How": "on_probe"},
    "Services": [
        {"Name": "board-read", "Effect": "pure", "DedupScope": "all", "GiveUp": 5 * S // 2, "KeyTtl": 5 * S,
         "LateWorth": 0.0, "Slo": 3 * S // 4, "Stream": False, "Worth": 3.0},
        {"Name": "move-write", "Effect": "side_effect", "DedupScope": "all", "GiveUp": 2 * S, "KeyTtl": 5 * S,
         "LateWorth": 0.7, "Slo": 3 * S // 4, "Stream": False, "Worth": 6.0}],
    "Tick": 5_000_000, "Weights": "off",
}
SOCKETS = 256  # "256 to 1,024 descriptors"
IDLE_CLIENTS = 250  # "others connect in hundreds and say nothing"
REOPENS_AFTER = 0.03  # "or the same thing again right after it is turned away"
SECONDS = 8.0


async def idle_client(record, router, until, seen):
    while now() < until:
        client = Client(record, router)
        try:
            await client.open()
            seen["opened"] += 1
            await client.reader.read(1000)
        except (OSError, asyncio.IncompleteReadError):
            seen["shut"] += 1
        if hasattr(client, "writer"):
            client.close()
        await asyncio.sleep(REOPENS_AFTER)


async def usual_client(record, router, name, breaks, seen):
    """Opens a connection, and once the router has answered the startup sends three commands at once."""
    client = Client(record, router)
    ids = [f"{name}-{nth}" for nth in range(3)]
    texts = [statement("board-read", False, request_id, "game-1", 2500, 3) for request_id in ids]
    try:
        await asyncio.wait_for(client.open(), 6)
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
        # "New connections may be shut unread then."
        seen["shut unread"] += 1
        return
    record.add(f"client sends {', '.join(ids)} in one write")
    client.writer.write(b"".join(frame(b"Q", text.encode() + b"\0") for text in texts))
    answers = []
    for request_id in ids:
        try:
            outcome, value = await asyncio.wait_for(client.answer(), 6)
        except asyncio.TimeoutError:
            outcome, value = "nothing", ""
        record.add(f"client gets  {request_id}: {outcome} {value}")
        answers.append(outcome)
        seen[outcome] = seen.get(outcome, 0) + 1
    client.close()
    if answers[0] == "closed":
        # Nothing shows that the router has read anything: it may have shut the connection unread.
        return
    for request_id, outcome in zip(ids, answers):
        if outcome in ("closed", "nothing"):
            breaks.append(f"{request_id} got no answer (the connection was {outcome}); {ids[0]}, sent with it, was {answers[0]}")


async def case(record: Record, trouble):
    group = Group(3, record)
    nodes = [Node(f"s-{n}", group, record) for n in range(4)]
    group.primary = nodes[0]
    for node in nodes:
        node.work = lambda method: 0.09
        await node.start()
    discovery = Discovery(record, nodes, lambda node: "leader" if node is nodes[0] else "follower")
    await discovery.start()
    router = Router(record)
    breaks, seen = [], {"opened": 0, "shut": 0, "shut unread": 0}
    try:
        await router.start(discovery.address, SETTINGS, discovery.whole(), {"cores": 1.0, "memory_mb": 192, "sockets": SOCKETS})
        until = now() + SECONDS
        idle = [asyncio.create_task(idle_client(record, router, until, seen)) for _ in range(IDLE_CLIENTS * trouble)]
        await asyncio.sleep(1.0)
        nth, usual = 0, []
        while now() < until:
            usual.append(asyncio.create_task(usual_client(record, router, f"u{nth}", breaks, seen)))
            nth += 1
            await asyncio.sleep(0.1)
        await asyncio.gather(*usual)
        for task in idle:
            task.cancel()
        if router.process.returncode is not None:
            breaks.append("the router has ended")
        record.add(f"idle connections opened {seen.pop('opened')}, of which shut before they had opened {seen.pop('shut')}; "
                   f"answers to the usual clients: {seen}")
        if not trouble and seen.get("served", 0) < 3 * nth:
            raise CannotRun("not all commands were served on a calm router")
    finally:
        await router.end()
    return breaks


if __name__ == "__main__":
    run_case(FOLDER, case)
