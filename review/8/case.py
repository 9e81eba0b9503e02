import asyncio
import os
import random
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-2"))
from standins import *

# 50 ms more on sockets, and 150 ms for a router that is held up between its clock and its write.
BOUND, SLACK = 0.8, 0.2
SPOILT_AT, LAG_AT, LAG_FOR, SLOWER, END = 2.0, 7.0, 10.0, 6.0, 18.0


class Replica(Node):
    """A replica that for a while applies the log more slowly, and answers as quickly as ever from what it has. One of
    its answers arrives spoilt: noise in the line that tells the position, and a row whose length doesn't fit."""

    def __init__(self, *arguments, **named):
        super().__init__(*arguments, **named)
        self.began, self.spoil, self.old = time.time(), False, {}

    def position(self):
        """The log is applied `SLOWER` times more slowly from `LAG_AT` on, for `LAG_FOR`; then it catches up."""
        age = time.time() - self.began
        slow = min(max(age - LAG_AT, 0), LAG_FOR)
        behind = slow * (1 - 1 / SLOWER)
        caught_up = max(age - LAG_AT - LAG_FOR, 0) * 2
        return now_ms() - self.lag_ms - int(1000 * max(behind - caught_up, 0))

    def answer(self, statement):
        if not (self.spoil and time.time() - self.began > SPOILT_AT):
            return super().answer(statement)
        self.spoil = False
        # Noise strikes a digit of the position, which is told ten minutes ahead; it has 13 digits as before.
        told = str(self.position() + 600_000)
        self.record.add(self.name, "spoilt answer to", statement["id"], "which tells", told, "and stands at", self.position())
        value = self.value(statement)
        good = row(b"payload", value, b"SELECT 1")
        at = good.index(value) - 4
        return parameter("node_role", "follower") + parameter("replay_position", told) + good[:at] + struct.pack(">i", len(value) + 7) + value + READY

    async def on_statement(self, reader, writer, statement):
        # A bound counts from the last byte of the send, which came a moment ago.
        age = time.time() - self.position() / 1000
        self.record.add(self.name, "stands %.3f s back" % age)
        if age > BOUND + SLACK:
            self.old[statement["id"]] = age
        await super().on_statement(reader, writer, statement)


async def case(record, folder, trouble, track):
    nodes = [Node(record, "s-0", "leader"), Replica(record, "s-1", "follower"), Replica(record, "s-2", "follower")]
    nodes[1].spoil = trouble
    for node in nodes:
        await node.start()
    discovery = Discovery(record, [node.entry() for node in nodes])
    await discovery.start()
    services = [service("board-read"), service("move-write", "side_effect", 2000, worth=6.0, late=0.7)]
    router = track(Router(record, discovery.address(), discovery.known(), settings(services, ["bounded", "write"], [800 * MS, 0]), folder))
    router.start()
    await router.ready()
    for node in nodes[1:]:
        node.began = time.time()
    counts, answers = {}, {}
    end = time.time() + END

    async def client(number):
        link = await Client.connect(router)
        turn = 0
        while time.time() < end:
            turn += 1
            id = "%04x%012x" % (number, turn)
            record.add("client", number, "sends", id)
            what, value = await link.ask(read_statement(id, "k%d" % turn, "board-read", 2500))
            counts[what] = counts.get(what, 0) + 1
            answers[id] = what
            record.add("client", number, "got", what, value)
            await asyncio.sleep(random.uniform(0.02, 0.08))
        link.close()

    await asyncio.gather(*(client(number) for number in range(6)))
    print(counts, "reads at", {node.name: len(node.runs) for node in nodes})
    # Neither replica has ever been a primary, so no send is excused.
    return ["read %s was served from %s, whose data were %.3f s old at the send; %.3f s are allowed" % (id, node.name, age, BOUND)
            for node in nodes[1:] for id, age in node.old.items() if answers.get(id) == "served"]


main(case, HERE)
