"""Stand-ins for the cases of the second review: clients, nodes and discovery of PROTOCOL, on loopback addresses.

They run in one asyncio loop, with nothing but Python's standard library. A node answers as the
protocol page says; each case derives from `Node` or `Discovery` what its disruption needs.
"""

import asyncio
import json
import os
import re
import signal
import struct
import subprocess
import sys
import tempfile
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
MS = 1_000_000


def now_ms():
    return int(time.time() * 1000)


def frame(kind, body=b""):
    return kind + struct.pack(">I", len(body) + 4) + body


def query(text):
    return frame(b"Q", text.encode() + b"\0")


def startup(user="web", database="orders"):
    body = struct.pack(">I", 3 << 16) + b"user\0" + user.encode() + b"\0database\0" + database.encode() + b"\0\0"
    return struct.pack(">I", len(body) + 4) + body


def parameter(name, value):
    return frame(b"S", name.encode() + b"\0" + value.encode() + b"\0")


def error(code, text="error", severity="ERROR", detail=None):
    body = b"S" + severity.encode() + b"\0V" + severity.encode() + b"\0C" + code.encode() + b"\0M" + text.encode() + b"\0"
    if detail is not None:
        body += b"D" + str(detail).encode() + b"\0"
    return frame(b"E", body + b"\0")


READY = frame(b"Z", b"I")
EMPTY = frame(b"I")


def row(column, value, tag):
    description = struct.pack(">H", 1) + column + b"\0" + struct.pack(">IHIhih", 0, 0, 17, -1, -1, 1)
    data = struct.pack(">Hi", 1, len(value)) + value
    return frame(b"T", description) + frame(b"D", data) + frame(b"C", tag + b"\0")


def error_code(body):
    for field in body.split(b"\0"):
        if field[:1] == b"C":
            return field[1:].decode()
    return "?"


async def read_frame(reader):
    head = await reader.readexactly(5)
    length = struct.unpack(">I", head[1:])[0]
    return head[:1], await reader.readexactly(length - 4)


async def read_startup(reader):
    length = struct.unpack(">I", await reader.readexactly(4))[0]
    return await reader.readexactly(length - 4)


STATEMENT = re.compile(r"^(SELECT|INSERT).*?'([^']*)'.*/\*(.*)\*/\s*;?\s*$", re.S)


def parse_statement(text):
    match = STATEMENT.match(text)
    if not match:
        return None
    pairs = dict(pair.strip().split("=", 1) for pair in match.group(3).split(","))
    return {"write": match.group(1) == "INSERT", "key": match.group(2), **pairs}


class Record:
    """What was sent, answered and run, in order of time; written to `record.txt` at the end."""

    def __init__(self):
        self.began = time.time()
        self.lines = []

    def add(self, *parts):
        self.lines.append("%9.4f %s" % (time.time() - self.began, " ".join(str(part) for part in parts)))

    def write(self, path):
        with open(path, "w") as file:
            file.write("\n".join(self.lines) + "\n")


class Node:
    """A member of a group. A primary stands at the present; a replica at `position()`."""

    # What a load report holds besides x0 and x1, and whether the list shows roles.
    further_columns, listed_role = "", True

    def __init__(self, record, name, role="leader", work_ms=5.0, cell=2):
        self.record, self.name, self.role, self.work_ms, self.cell = record, name, role, work_ms, cell
        self.port = None
        self.runs, self.arrivals = [], []
        self.server = None
        self.writers = set()
        self.lag_ms = 5

    async def start(self, host="127.0.0.1"):
        self.host = host
        self.server = await asyncio.start_server(self.serve, host, self.port or 0, backlog=512)
        self.port = self.server.sockets[0].getsockname()[1]

    def address(self):
        return "%s:%d" % (self.host, self.port)

    def entry(self, **changes):
        entry = {"instanceId": self.name, "hostPort": self.address(), "zone": "a", "machineType": "m2", "cell": self.cell,
                 "lifecycle": "SERVING", "weight": 1.0, "startedAtMs": 0, "role": self.role}
        if not self.listed_role:
            del entry["role"]
        entry.update(changes)
        return entry

    def position(self):
        return now_ms() if self.role == "leader" else now_ms() - self.lag_ms

    def status(self, position=None):
        return parameter("node_role", self.role) + parameter("replay_position", str(position or self.position()))

    def report(self):
        return ("x0=%.3f,x1=%d%s" % (self.position() / 1000, self.role == "leader", self.further_columns)).encode()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            await read_startup(reader)
            writer.write(frame(b"R", struct.pack(">I", 0)) + frame(b"K", struct.pack(">II", 1, 1)) + READY)
            while True:
                kind, body = await read_frame(reader)
                if kind == b"X":
                    return
                if kind != b"Q":
                    writer.write(error("08P01", "not a query", "FATAL"))
                    return
                await self.on_query(reader, writer, body.rstrip(b"\0").decode())
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def on_query(self, reader, writer, text):
        if not text.strip(" ;"):
            writer.write(EMPTY + READY)
        elif text.startswith("SHOW server_load"):
            writer.write(row(b"server_load", self.report(), b"SHOW") + READY)
        elif text.startswith("SELECT 1"):
            writer.write(row(b"?column?", b"1", b"SELECT 1") + READY)
        else:
            statement = parse_statement(text)
            if statement is None:
                writer.write(error("08P01", "not a statement of the protocol", "FATAL"))
                raise ConnectionError("bad statement")
            await self.on_statement(reader, writer, statement)

    async def on_statement(self, reader, writer, statement):
        self.arrivals.append((time.time(), statement["id"], statement["key"]))
        self.record.add(self.name, "got", statement["id"], "key", statement["key"], "c", statement["c"], "d", statement["d"])
        if statement["write"] and self.role != "leader":
            writer.write(error("25006", "not the primary") + self.status() + READY)
            return
        await asyncio.sleep(self.work_ms / 1000)
        self.run(statement)
        writer.write(self.answer(statement))

    def run(self, statement):
        self.runs.append((time.time(), statement["id"], statement["key"]))
        self.record.add(self.name, "ran", statement["id"], "key", statement["key"])

    def value(self, statement):
        return ("value of " + statement["id"]).encode()

    def answer(self, statement):
        tag = b"INSERT 0 1" if statement["write"] else b"SELECT 1"
        return row(b"payload", self.value(statement), tag) + self.status() + READY


class Discovery:
    """The service of the protocol page: whole list, and a watch of changes with an empty line every 2 s."""

    def __init__(self, record, entries, generation=41):
        self.record, self.generation = record, generation
        self.entries = {entry["instanceId"]: entry for entry in entries}
        self.changed = {name: generation for name in self.entries}
        self.watches = []
        self.answer_delay = 0.0
        self.server = None

    async def start(self, host="127.0.0.1"):
        self.host = host
        self.server = await asyncio.start_server(self.serve, host, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def address(self):
        return "%s:%d" % (self.host, self.port)

    def listing(self, since=None):
        names = [name for name in self.entries if since is None or self.changed[name] > since]
        listed = [self.entries[name] for name in names]
        if since is None:
            listed = [entry for entry in listed if entry["lifecycle"] != "DELETED"]
        return {"generation": self.generation, "reset": since is None, "instances": listed}

    def known(self):
        return self.listing()

    @staticmethod
    def chunk(text):
        data = text.encode()
        return b"%x\r\n" % len(data) + data + b"\r\n"

    async def serve(self, reader, writer):
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            match = re.search(r"watch=1&from=(\d+)", head)
            self.record.add("discovery", "asked:", head.split("\r\n")[0])
            await asyncio.sleep(self.answer_delay)
            if not match:
                body = json.dumps(self.listing()).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
                return
            since = int(match.group(1))
            first = self.listing(since if since > 0 else None)
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + self.chunk(json.dumps(first) + "\n"))
            self.record.add("discovery", "told", json.dumps(first)[:300])
            self.watches.append(writer)
            while not writer.is_closing():
                await asyncio.sleep(2)
                writer.write(self.chunk("\n"))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            if writer in self.watches:
                self.watches.remove(writer)
            writer.close()

    def change(self, name, **fields):
        """A change of one entry, which is written to all watches at once."""
        self.generation += 1
        self.entries[name] = {**self.entries.get(name, {}), **fields}
        self.changed[name] = self.generation
        listing = {"generation": self.generation, "reset": False, "instances": [self.entries[name]]}
        for writer in self.watches:
            writer.write(self.chunk(json.dumps(listing) + "\n"))
        self.record.add("discovery", "told", json.dumps(listing)[:300])


def settings(services, levels, ages, **changes):
    """The settings of a small deployment, in the form of the example of WIRE, chapter 6."""
    base = {
        "Allowed": {"AttemptsCap": 6, "Cancel": True, "ConnIdle": 15_000 * MS, "ConnectTimeout": 250 * MS,
                    "CpuUsPerRequest": 0.0, "CpuUsPerS": 166666, "MaxRetryAfter": 500 * MS, "MayTell": False,
                    "MostHeld": 33333, "Multiplex": 8, "Probes": True, "RetryAfter": True, "SecondCopies": False},
        "Az": "a", "Balancers": 1, "Callers": {"MarksRetry": True},
        "Contract": {"AnswerSlack": 20 * MS, "ColdFrom": 0.19, "DrainGrace": 1000 * MS, "MustAskIn": 10_000 * MS,
                     "OverloadFor": 3000 * MS, "TipMultiple": 4.0, "WarmWithin": 17_000 * MS},
        "CountedBy": "request",
        "Extra": {"Checks": "off", "MaxAge": ages, "ProgressTold": True, "ReadLevel": levels, "RoleInList": "late",
                  "Sync": False, "Tokens": "carried", "Wait": 0, "Zero": 0},
        "Family": "replicas", "Kinds": ["m2"], "Layer": 0, "Me": 0, "OverShareWorth": 0.1, "Parties": [],
        "RegistryMode": "subscribe", "Report": {"Columns": ["x0", "x1"], "How": "on_probe"},
        "Services": services, "Stages": ["db"], "Tick": 5 * MS, "Weights": "off", "Zones": ["a"],
    }
    for key, value in changes.items():
        if isinstance(value, dict):
            base[key] = {**base[key], **value}
        else:
            base[key] = value
    return base


def service(name, effect="pure", deadline_ms=2500, slo_ms=750, ttl_ms=5000, scope="all", worth=3.0, late=0.0):
    return {"DedupScope": scope, "Effect": effect, "GiveUp": deadline_ms * MS, "KeyTtl": ttl_ms * MS, "LateWorth": late,
            "Name": name, "Slo": slo_ms * MS, "Stream": False, "Worth": worth}


def run_command():
    with open(os.path.join(ROOT, "deploy", "balancer.toml")) as file:
        return re.search(r'^run = "(.*)"$', file.read(), re.M).group(1)


def free_port(host="127.0.0.1"):
    import socket
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


class Router:
    """One router, started by `run` of the deploy file."""

    def __init__(self, record, discovery, known, settings, folder, name="n1", memory_mb=128, sockets=1024):
        self.record, self.name, self.folder = record, name, folder
        self.host, self.port = "127.0.0.1", free_port()
        self.config = {"name": name, "listen": "%s:%d" % (self.host, self.port), "discovery": discovery,
                       "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
                       "known": known, "settings": settings}
        self.path = os.path.join(folder, name + ".json")
        self.process = None
        self.store()

    def store(self):
        with open(self.path + ".new", "w") as file:
            json.dump(self.config, file)
        os.replace(self.path + ".new", self.path)

    def start(self):
        environment = {**os.environ, "RELAY_NAME": self.name, "RELAY_LISTEN": self.config["listen"],
                       "RELAY_DISCOVERY": self.config["discovery"], "RELAY_CONFIG": self.path, "TMPDIR": self.folder}
        self.log = open(os.path.join(self.folder, self.name + ".log"), "a")
        self.process = subprocess.Popen(["/bin/sh", "-c", run_command()], cwd=ROOT, env=environment, stdout=self.log,
                                        stderr=self.log, stdin=subprocess.DEVNULL)
        self.started = time.time()
        self.record.add("router", self.name, "started")

    def signal(self, number):
        self.record.add("router", self.name, "gets", signal.Signals(number).name)
        self.process.send_signal(number)

    async def ready(self, within=10):
        """Waits until an empty query is answered, as the front does."""
        end = time.time() + within
        while time.time() < end:
            if self.process.poll() is not None:
                raise CannotRun("the router has ended at its start")
            try:
                client = await Client.connect(self)
                await client.ask_empty()
                client.close()
                return
            except (OSError, asyncio.IncompleteReadError):
                await asyncio.sleep(0.01)
        raise CannotRun("the router is not ready")

    def kill(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


class Client:
    """A client's connection. One query is out at a time unless `send` is used alone."""

    def __init__(self, reader, writer):
        self.reader, self.writer = reader, writer

    @staticmethod
    async def connect(router):
        reader, writer = await asyncio.open_connection(router.host, router.port)
        client = Client(reader, writer)
        writer.write(startup())
        while (await read_frame(reader))[0] != b"Z":
            pass
        return client

    def send(self, text):
        self.writer.write(query(text))

    async def answer(self):
        """('served', value), ('refused', code) or ('failed', code), as the protocol page has it."""
        result = None
        while True:
            kind, body = await read_frame(self.reader)
            if kind == b"D":
                result = ("served", body[6:])
            elif kind == b"E":
                code = error_code(body)
                result = ("refused" if code in ("53300", "57P03") else "failed", code)
            elif kind == b"Z":
                return result

    async def ask(self, text):
        self.send(text)
        return await self.answer()

    async def ask_empty(self):
        self.send("")
        while (await read_frame(self.reader))[0] != b"Z":
            pass

    def close(self):
        self.writer.close()


class CannotRun(Exception):
    pass


def read_statement(id, key, c, d, cell=2, extra=""):
    return "SELECT payload FROM entries WHERE ref = '%s' /* id=%s,c=%s,d=%d,cluster=%d%s */" % (key, id, c, d, cell, extra)


def write_statement(id, key, c, d, cell=2, extra=""):
    return "INSERT INTO entries (ref, payload) VALUES ('%s', '\\x9f03') RETURNING payload /* id=%s,c=%s,d=%d,cluster=%d%s */" % (
        key, id, c, d, cell, extra)


def main(case, folder):
    """Runs `case(record, temporary folder, trouble)`, which returns the breaks found. Exits as the review asks."""
    # The limit of time in run.sh ends this with SIGTERM: the routers are ended then as ever.
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(2))
    record = Record()
    trouble = os.environ.get("TROUBLE", "1") != "0"
    status = 2
    routers = []

    def track(router):
        routers.append(router)
        return router

    with tempfile.TemporaryDirectory() as temporary:
        try:
            breaks = asyncio.run(asyncio.wait_for(case(record, temporary, trouble, track), 110))
            for line in breaks[:20]:
                record.add("BROKEN", line)
                print("BROKEN", line)
            status = 1 if breaks else 0
            print("breaks: %d" % len(breaks))
        except CannotRun as problem:
            print("can't run:", problem)
            record.add("can't run:", problem)
        except Exception as problem:
            import traceback
            traceback.print_exc()
            record.add("can't run:", repr(problem))
        finally:
            for router in routers:
                router.kill()
                if os.environ.get("SHOW_LOG"):
                    with open(os.path.join(temporary, router.name + ".log")) as log:
                        sys.stderr.write(log.read())
    record.write(os.path.join(folder, "record.txt"))
    sys.exit(status)
