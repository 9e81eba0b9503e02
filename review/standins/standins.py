"""Stand-ins for the platform of a router: a replicated group of nodes, discovery, clients; and the router's process.

They follow the protocol page: PostgreSQL v3, simple queries, and discovery's watch over HTTP. Everything listens on
127.0.0.1, on ports that the system chooses. One process, one asyncio loop. Time is the real clock.
"""

import asyncio
import json
import os
import re
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
SLACK = 0.05  # "every time limit is 50 ms longer"
KNOWN_AFTER = 0.1  # "what an answer tells counts as known 100 ms after it was written"


def now():
    return time.time()


class Record:
    """What was sent, answered and run, in the order of events; written to record.txt of the case."""

    def __init__(self, folder):
        self.path = os.path.join(folder, "record.txt")
        self.lines = []
        self.began = now()

    def add(self, text, at=None):
        at = now() if at is None else at
        self.lines.append((at, f"{at - self.began:9.4f}  {text}"))

    def write(self):
        with open(self.path, "w") as out:
            out.writelines(line + "\n" for _, line in sorted(self.lines, key=lambda line: line[0]))


def frame(kind, body=b""):
    return kind + struct.pack("!i", len(body) + 4) + body


def row(value, tag, parameters):
    column = struct.pack("!hi", 1, len(value)) + value
    description = struct.pack("!h", 1) + b"payload\0" + struct.pack("!ihihih", 0, 0, 17, -1, -1, 1)
    return frame(b"T", description) + frame(b"D", column) + frame(b"C", tag + b"\0") + ready(parameters)


def error(code, text, parameters=()):
    fields = f"SERROR\0VERROR\0C{code}\0M{text}\0\0".encode()
    return frame(b"E", fields) + ready(parameters)


def ready(parameters=()):
    status = b"".join(frame(b"S", f"{name}\0{value}\0".encode()) for name, value in parameters)
    return status + frame(b"Z", b"I")


async def read_frame(reader):
    kind, length = struct.unpack("!ci", await reader.readexactly(5))
    return kind, await reader.readexactly(length - 4)


def comment(statement):
    inner = statement[statement.rindex("/*") + 2 : statement.rindex("*/")]
    return dict(pair.strip().split("=", 1) for pair in inner.split(","))


def statement(method, writes, request_id, key, wait_ms, group, value="00"):
    """A statement in the form of the protocol page."""
    note = f"/* id={request_id},c={method},d={wait_ms},cluster={group} */"
    if writes:
        return f"INSERT INTO entries (ref, payload) VALUES ('{key}', '\\x{value}') RETURNING payload {note}"
    return f"SELECT payload FROM entries WHERE ref = '{key}' {note}"


class Group:
    """The log of one group, and who is its primary. A commit is (time in ms, key, value)."""

    def __init__(self, number, record):
        self.number, self.record = number, record
        self.commits = []
        self.primary = None

    def commit(self, node, key, value):
        at_ms = int(now() * 1000) + 1  # "its commit time, rounded up"
        self.commits.append((at_ms, key, value))
        self.record.add(f"commit at {node.name}: {key} = {value}")
        return at_ms

    def value(self, key, position_ms):
        values = [value for at_ms, of, value in self.commits if of == key and at_ms <= position_ms]
        return values[-1] if values else ""


class Node:
    """One node. A primary stands at the present; a replica's position is given by `replays`."""

    def __init__(self, name, group, record, tells_position=True):
        self.name, self.group, self.record = name, group, record
        self.tells_position = tells_position
        self.lifecycle, self.started_ms = "SERVING", 0
        self.handshake = 0.0  # seconds that setting up a new connection takes longer
        self.round_trip = 0.0  # seconds on the way, there and back
        self.reachable = asyncio.Event()
        self.reachable.set()
        self.work = lambda method: 0.01
        self.replays = lambda at: at - 0.015  # gets the log after some ms and applies it
        self.demoted_at = None
        self.sends = []  # (time of the last byte, id, method, answer)
        self.told_replica_at = None  # when this node first wrote an answer that shows it to be a replica, after it was primary
        self.probed = asyncio.Event()
        self.connections = 0
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0, limit=1 << 20)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    def is_primary(self):
        return self.group.primary is self

    def position(self):
        return now() if self.is_primary() else self.replays(now())

    def parameters(self, position_ms=None):
        parameters = [("node_role", "leader" if self.is_primary() else "follower")]
        if position_ms is None and self.tells_position:
            position_ms = int(self.position() * 1000)
        if position_ms is not None:
            parameters.append(("replay_position", position_ms))
        return parameters

    def entry(self, listed_role=None):
        entry = {"instanceId": self.name, "hostPort": self.address, "zone": "a", "machineType": "std3",
                 "cell": self.group.number, "lifecycle": self.lifecycle, "weight": 1.0, "startedAtMs": self.started_ms}
        if listed_role:
            entry["role"] = listed_role
        return entry

    async def serve(self, reader, writer):
        self.connections += 1
        try:
            writer.transport.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            (length,) = struct.unpack("!i", await reader.readexactly(4))
            await reader.readexactly(length - 4)
            await self.reachable.wait()
            if self.handshake:
                self.record.add(f"{self.name}: a new connection, set up in {self.handshake * 1000:.0f} ms")
            await asyncio.sleep(self.round_trip + self.handshake)
            writer.write(frame(b"R", struct.pack("!i", 0)) + frame(b"S", b"server_version\x0016.0\0") + ready())
            while True:
                kind, body = await read_frame(reader)
                await self.reachable.wait()
                if kind != b"Q":
                    return
                await self.answer(body[:-1].decode(), writer, now())
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.connections -= 1
            writer.close()

    async def answer(self, text, writer, came_at):
        if not text:
            return writer.write(frame(b"I") + ready())
        await asyncio.sleep(self.round_trip)
        if text == "SHOW server_load":
            report = f"x0={self.position():.3f},x1={int(self.is_primary())},rif=0"
            self.probed.set()
            self.note_told("a probe")
            return writer.write(row(report.encode(), b"SHOW", self.parameters()))
        if text == "SELECT 1":
            self.note_told("a probe")
            return writer.write(row(b"1", b"SELECT 1", self.parameters()))
        pairs = comment(text)
        request_id, method = pairs["id"], pairs["c"]
        key = re.search(r"'([^']*)'", text).group(1)
        self.sends.append((came_at, request_id, method))
        self.record.add(f"{self.name} gets  {request_id} {method} d={pairs['d']}", came_at)
        await self.execute(text, request_id, method, key, writer)

    def refusal(self):
        """The answer with which this node turns all away, if it does: a draining one wants nothing new."""
        return error("53300", "draining", self.parameters()) if self.lifecycle == "DRAINING" else None

    async def execute(self, text, request_id, method, key, writer):
        refusal = self.refusal()
        if refusal:
            self.record.add(f"{self.name} turns {request_id} away (53300)")
            return writer.write(refusal)
        if text.startswith("INSERT") and not self.is_primary():
            self.note_told(f"25006 to {request_id}")
            self.record.add(f"{self.name} turns {request_id} away: no primary (25006)")
            return writer.write(error("25006", "no primary", self.parameters()))
        await asyncio.sleep(self.work(method))
        if text.startswith("INSERT"):
            if not self.is_primary():
                return writer.write(error("XX000", "lost its role", self.parameters()))
            value = re.search(r"'\\x([0-9a-f]*)'", text).group(1)
            at_ms = self.group.commit(self, key, value)
            return writer.write(row(value.encode(), b"INSERT 0 1", self.parameters(at_ms)))
        position = self.position()
        value = self.group.value(key, position * 1000)
        self.note_told(f"the answer to {request_id}")
        self.record.add(f"{self.name} serves {request_id}: {key} = {value!r}, its data is of {position - self.record.began:.3f}")
        writer.write(row(value.encode(), b"SELECT 1", self.parameters()))

    def note_told(self, what):
        if self.demoted_at and not self.is_primary() and self.told_replica_at is None:
            self.told_replica_at = now()
            self.record.add(f"{self.name} tells the router that it is a replica, by {what}")


class Discovery:
    """Discovery: the whole list, then a watch with changes; an empty line every 2 s."""

    def __init__(self, record, nodes, listed_role=lambda node: None):
        self.record, self.nodes, self.listed_role = record, nodes, listed_role
        self.generation = 41
        self.changes = []  # (generation, entry)
        self.watches = set()
        self.answer_after = lambda nth: 0.0  # how long a call waits for its turn
        self.refuses = lambda nth: False
        self.calls = 0
        self.told = []  # (time written, generation)
        self.lines = asyncio.Event()  # an empty line was written
        self.server = None

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port)
        self.port = self.server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{self.port}"

    def listing(self, entries, reset):
        return {"generation": self.generation, "reset": reset, "instances": entries}

    def whole(self):
        return self.listing([node.entry(self.listed_role(node)) for node in self.nodes], True)

    def change(self, node):
        self.generation += 1
        entry = node.entry(self.listed_role(node))
        self.changes.append((self.generation, entry))
        self.record.add(f"discovery has {node.name} {entry['lifecycle']} as version {self.generation}")
        for watch in list(self.watches):
            self.write(watch, self.listing([entry], False))

    def write(self, writer, listing):
        line = (json.dumps(listing) + "\n").encode() if listing else b"\n"
        try:
            writer.write(b"%x\r\n%s\r\n" % (len(line), line))
        except ConnectionError:
            return
        if listing:
            self.told.append((now(), listing["generation"]))
            self.record.add(f"discovery writes version {listing['generation']} to the router")

    async def serve(self, reader, writer):
        try:
            request = (await reader.readuntil(b"\r\n\r\n")).decode()
            nth, self.calls = self.calls, self.calls + 1
            self.record.add(f"discovery is called ({request.split()[1]})")
            await asyncio.sleep(self.answer_after(nth))
            if self.refuses(nth):
                self.record.add("discovery ends a call that waited too long: 503")
                writer.write(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
                await writer.drain()
                return
            version = int(re.search(r"from=(\d+)", request).group(1))
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            if version < 41 or version > self.generation:
                self.write(writer, self.whole())
            else:
                newest = {entry["instanceId"]: entry for at, entry in self.changes if at > version}
                self.write(writer, self.listing(list(newest.values()), False))
            self.watches.add(writer)
            while not reader.at_eof():
                try:
                    await asyncio.wait_for(reader.read(100), 2.0)
                except asyncio.TimeoutError:
                    if writer in self.watches:
                        self.write(writer, None)
                        self.lines.set()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.watches.discard(writer)
            writer.close()

    def end_watches(self):
        for watch in list(self.watches):
            watch.transport.abort()

    async def fall_silent(self):
        """All open watches fall silent, right behind an empty line; they stay open. Returns when that was."""
        self.lines.clear()
        await asyncio.wait_for(self.lines.wait(), 5)
        self.watches.clear()
        self.record.add("all open watches fall silent")
        return now()


class Router:
    """The router's process, started by `run` of the deploy file."""

    def __init__(self, record, name="n1"):
        self.record, self.name, self.process = record, name, None
        self.folder = tempfile.mkdtemp(prefix="ladderpass-review-")
        self.port = free_port()

    async def start(self, discovery, settings, known, limits=None, seed="8c1f30d27a5be964"):
        listen = f"127.0.0.1:{self.port}"
        config = {"name": self.name, "listen": listen, "discovery": discovery, "seed": seed,
                  "limits": limits or {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
                  "known": known, "settings": settings}
        path = os.path.join(self.folder, "config.json")
        with open(path, "w") as out:
            json.dump(config, out)
        environment = dict(os.environ, RELAY_NAME=self.name, RELAY_LISTEN=listen, RELAY_DISCOVERY=discovery,
                           RELAY_CONFIG=path, RUST_LOG="info", TMPDIR=self.folder)
        with open(os.path.join(ROOT, "deploy", "balancer.toml")) as deploy:
            run = re.search(r'^run = "(.*)"', deploy.read(), re.M).group(1)
        log = open(os.path.join(self.folder, "log"), "ab")
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", run, cwd=ROOT, env=environment, stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log)
        log.close()
        await self.ready()

    async def ready(self):
        deadline = now() + 30
        while now() < deadline:
            client = Client(self.record, self)
            try:
                await client.open()
                client.writer.write(frame(b"Q", b"\0"))
                kinds = [(await read_frame(client.reader))[0], (await read_frame(client.reader))[0]]
                client.close()
                if kinds == [b"I", b"Z"]:
                    self.record.add(f"router {self.name} is ready")
                    return
            except (OSError, asyncio.IncompleteReadError):
                await asyncio.sleep(0.02)
        raise CannotRun("the router was not ready within 30 s")

    def log(self):
        with open(os.path.join(self.folder, "log"), errors="replace") as log:
            return log.read()

    def signal(self, which):
        self.process.send_signal(which)

    async def end(self):
        if self.process and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


class CannotRun(Exception):
    pass


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


class Client:
    """One connection of a client. `outcome` is 'served', 'refused', 'failed' or 'closed' (by the router, unanswered)."""

    def __init__(self, record, router):
        self.record, self.router = record, router

    async def open(self, ahead=b""):
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.router.port)
        body = b"\0\x03\0\0user\0web\0database\0orders\0\0"
        self.writer.write(struct.pack("!i", len(body) + 4) + body + ahead)
        if not ahead:
            await self.opened()

    async def opened(self):
        while True:
            kind, _ = await read_frame(self.reader)
            if kind == b"Z":
                return

    def send(self, text):
        self.writer.write(frame(b"Q", text.encode() + b"\0"))

    async def answer(self):
        """Reads one whole answer: (outcome, value or SQLSTATE)."""
        outcome, value = "closed", ""
        try:
            while True:
                kind, body = await read_frame(self.reader)
                if kind == b"D":
                    value = body[6:].decode()
                elif kind == b"C":
                    outcome = "served"
                elif kind == b"E":
                    fields = dict((part[:1], part[1:].decode()) for part in body.split(b"\0") if part)
                    value = fields[b"C"]
                    outcome = "refused" if value in ("53300", "57P03") else "failed"
                    if fields.get(b"S") == "FATAL":
                        return outcome, value
                elif kind == b"Z":
                    return outcome, value
        except (asyncio.IncompleteReadError, ConnectionError):
            return (outcome, value) if outcome in ("refused", "failed") else ("closed", "")

    async def request(self, text, timeout=15):
        request_id = comment(text)["id"]
        sent_at = now()
        self.record.add(f"client sends {request_id} {comment(text)['c']}", sent_at)
        self.send(text)
        try:
            outcome, value = await asyncio.wait_for(self.answer(), timeout)
        except asyncio.TimeoutError:
            outcome, value = "nothing", ""
        self.record.add(f"client gets  {request_id}: {outcome} {value!r}")
        return outcome, value, sent_at, now()

    def close(self):
        self.writer.close()


def run_case(folder, case):
    """Runs `case(record, trouble)`, which returns the list of breaks; writes the record and exits with 0, 1 or 2."""
    record = Record(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    code = 2


    async def play():
        # If the script is told to end, the router's process ends with it.
        task = asyncio.ensure_future(case(record, trouble))
        loop = asyncio.get_running_loop()
        for which in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            loop.add_signal_handler(which, task.cancel)
        # Connections that are open at the end are cut off, which is no news.
        loop.set_exception_handler(lambda loop, context: None)
        return await asyncio.wait_for(task, 110)

    try:
        breaks = asyncio.run(play())
        record.add("RULE BROKEN" if breaks else "rule held")
        for line in breaks:
            record.add("break: " + line)
            print("break: " + line)
        code = 1 if breaks else 0
    except (Exception, asyncio.CancelledError) as reason:  # the case could not run
        record.add(f"could not run: {type(reason).__name__}: {reason}")
        print(f"could not run: {type(reason).__name__}: {reason}", file=sys.stderr)
    record.write()
    print({0: "rule held", 1: "RULE BROKEN", 2: "could not run"}[code])
    sys.stdout.flush()
    os._exit(code)
