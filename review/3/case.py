"""A watch falls silent while discovery is crowded: the router asks again too late, and sends to a draining node."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins"))
from standins import SLACK, CannotRun, Client, Discovery, Group, Node, Record, Router, now, run_case, statement

S = 1_000_000_000
# As pelletier-sessions has them; the number of routers is that of a small deployment.
SETTINGS = {
    "Allowed": {"AttemptsCap": 8, "Cancel": True, "ConnIdle": 30 * S, "ConnectTimeout": S // 4, "MaxRetryAfter": S // 2,
                "MayTell": True, "MostHeld": 20000, "Multiplex": 1, "Probes": True, "RetryAfter": True,
                "SecondCopies": False},
    "Az": "a", "Balancers": 3, "Me": 0, "Zones": ["a"], "Kinds": ["std3"], "Layer": 0, "Stages": ["session-db"],
    "Callers": {"MarksRetry": False},
    "Contract": {"AnswerSlack": S // 50, "ColdFrom": 0.3, "DrainGrace": S // 2, "MustAskIn": 10 * S,
                 "OverloadFor": 2 * S, "TipMultiple": 2.5, "WarmWithin": 12 * S},
    "Extra": {"Checks": "off", "MaxAge": [3 * S, 0, 0], "ProgressTold": False,
              "ReadLevel": ["bounded", "fresh", "write"], "RoleInList": "start", "Sync": True, "Tokens": "carried",
              "Wait": 0, "Zero": 0},
    "Family": "replicas", "RegistryMode": "subscribe", "Report": {"Columns": ["x0", "x1", "rif"], "How": "on_probe"},
    "Services": [
        {"Name": "status-read", "Effect": "pure", "DedupScope": "all", "GiveUp": 5 * S // 2, "KeyTtl": 5 * S,
         "LateWorth": 0.0, "Slo": S, "Stream": False, "Worth": 3.0},
        {"Name": "balance-read", "Effect": "pure", "DedupScope": "all", "GiveUp": 4 * S, "KeyTtl": 5 * S,
         "LateWorth": 0.0, "Slo": S, "Stream": False, "Worth": 1.0},
        {"Name": "session-write", "Effect": "token", "DedupScope": "cell", "GiveUp": 2 * S, "KeyTtl": 6 * S // 5,
         "LateWorth": 0.7, "Slo": 3 * S // 2, "Stream": False, "Worth": 4.0}],
    "Tick": 5_000_000, "Weights": "off",
}
GRACE = 0.5  # `DrainGrace`
TOLD_AFTER = 6.0  # "counts as told at the latest 6 s after it fell silent"
WAITS = 1.0  # a call that waits for longer fails: `timeout_ms` of the site's [discovery]
TURNED_AWAY = 3  # calls that wait too long, one after the other, while discovery is crowded
RATE = 60  # RPCs a second


async def clients(record, router, until, seen):
    """Reads, each on a connection of its own or one that is free, as clients do."""
    free, tasks = [], []

    async def one(nth):
        client = free.pop() if free else None
        if client is None:
            client = Client(record, router)
            await client.open()
        text = statement("status-read", False, f"r{nth}", f"driver-{nth % 50}", 2500, 3)
        outcome, _, _, _ = await client.request(text)
        seen[outcome] = seen.get(outcome, 0) + 1
        if outcome == "served":
            free.append(client)
        else:
            client.close()

    nth = 0
    while now() < until():
        tasks.append(asyncio.create_task(one(nth)))
        nth += 1
        await asyncio.sleep(1 / RATE)
    await asyncio.gather(*tasks, return_exceptions=True)


async def case(record: Record, trouble):
    group = Group(3, record)
    nodes = [Node(f"s-{n}", group, record, tells_position=False) for n in range(4)]
    group.primary = nodes[0]
    for node in nodes:
        node.work = lambda method: 0.14  # "130 to 230 ms of work"
        await node.start()
    discovery = Discovery(record, nodes, lambda node: "leader" if node is nodes[0] else "follower")
    await discovery.start()
    router = Router(record)
    try:
        await router.start(discovery.address, SETTINGS, discovery.whole())
        return await play(record, trouble, nodes[2], discovery, router)
    finally:
        await router.end()


async def play(record, trouble, draining, discovery, router):
    end, seen = [float("inf")], {}
    load = asyncio.create_task(clients(record, router, lambda: end[0], seen))
    await asyncio.sleep(3.0)
    silent_at = await discovery.fall_silent() if trouble else now()
    if trouble:
        first = discovery.calls
        crowded = lambda nth: first <= nth < first + TURNED_AWAY
        discovery.answer_after = lambda nth: WAITS if crowded(nth) else 0.0
        discovery.refuses = crowded
    await asyncio.sleep(0.3)
    draining.lifecycle = "DRAINING"
    discovery.change(draining)
    changed_at = now()
    end[0] = silent_at + 15
    await load
    if router.process.returncode is not None:
        raise CannotRun("the router has ended")
    record.add(f"answers: {seen}")
    # Without a silent watch the change is told when it is written.
    told_at = silent_at + TOLD_AFTER if trouble else changed_at
    latest = told_at + GRACE + SLACK
    record.add(f"told at the latest at {told_at - record.began:.3f}, so nothing new may go to {draining.name} from {latest - record.began:.3f} on")
    return [f"{request_id} was sent to {draining.name} {came_at - told_at:.3f} s after its drain counts as told"
            for came_at, request_id, _ in draining.sends if came_at > latest]


if __name__ == "__main__":
    run_case(FOLDER, case)
