"""Stand-ins for the outside of one small deployment, on loopback and the real clock.

They speak what the operators' PROTOCOL and DEPLOY pages say and nothing beyond it:
  Registry    discovery: the whole list, and a watch with an empty line every 2 s
  DataServer  PostgreSQL protocol 3, simple queries, one column; role and position with each answer
  Group       one primary and its replicas, and what each of them has of the log
  Client      a client's connection, with pipelined commands if the test wants them
  Proxy       the program as the deploy file starts it, with its configuration and folder
  Record      record.txt: what was sent, answered and run
Python 3 and its standard library only.
"""
import asyncio
import json
import os
import re
import signal
import socket
import struct
import sys
import tempfile
import time

REVIEW = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(REVIEW)


def now():
    """Unix time in seconds; every stand-in reads this one clock."""
    return time.time()


def free_port(host="127.0.0.1"):
    """A TCP port that nobody listened on a moment ago."""
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        probe.bind((host, 0))
        return probe.getsockname()[1]


class Record:
    """Writes one line an event, with the milliseconds since the test began."""

    def __init__(self, path):
        self.began = now()
        self.file = open(path, "w", encoding="utf-8")

    def __call__(self, text):
        self.file.write(f"{(now() - self.began) * 1000:9.1f} {text}\n")
        self.file.flush()


# ---- messages ---------------------------------------------------------------------------------------

def message(kind, body=b""):
    return kind + struct.pack(">I", len(body) + 4) + body


def parameter(name, value):
    return message(b"S", name.encode() + b"\0" + str(value).encode() + b"\0")


def error(code, text, severity="ERROR"):
    fields = (("S", severity), ("V", severity), ("C", code), ("M", text))
    return message(b"E", b"".join(k.encode() + v.encode() + b"\0" for k, v in fields) + b"\0")


def row(value, tag, column="blob", binary=True):
    description = struct.pack(">H", 1) + column.encode() + b"\0" + struct.pack(
        ">IHIhIH", 0, 0, 17, -1, 0xFFFFFFFF, 1 if binary else 0)
    data = struct.pack(">HI", 1, len(value)) + value
    return message(b"T", description) + message(b"D", data) + message(b"C", tag.encode() + b"\0")


READY = message(b"Z", b"I")
COMMENT = re.compile(r"/\*(.*)\*/")
QUOTED = re.compile(r"'([^']*)'")


def comment_of(statement):
    """The names and values in the statement's comment."""
    found = COMMENT.search(statement)
    return dict(part.strip().split("=", 1) for part in found.group(1).split(",")) if found else {}


# ---- data servers -----------------------------------------------------------------------------------

class Group:
    """A replication group. The primary stands at the present. A replica has all commits up to its
    position, which never goes back: `ship` seconds ago, or, from `slow_from` on, what it gets to
    when it applies the log at `pace` of the speed at which the log grows."""

    def __init__(self, ship=0.01):
        self.ship = ship
        self.slow_from = None
        self.pace = 1.0
        self.commits = {}  # key: list of (commit in whole ms, value), ascending

    def slow_down(self, pace):
        self.slow_from, self.pace = now(), pace

    def replica_position_ms(self):
        at = now() - self.ship
        if self.slow_from is not None:
            at = min(at, self.slow_from - self.ship + (now() - self.slow_from) * self.pace)
        return int(at * 1000)

    def commit(self, key, value):
        at = int(now() * 1000) + 1  # commits are rounded up
        self.commits.setdefault(key, []).append((at, value))
        return at

    def value(self, key, position_ms):
        """What a server at this position has for the key."""
        held = [value for at, value in self.commits.get(key, []) if at <= position_ms]
        return held[-1] if held else b"none"


class DataServer:
    """One data server. `work(fields)` gives the seconds that a statement takes. `seen` gets
    (time of the last byte, what) for each statement, probe and new connection."""

    def __init__(self, record, name, group, primary, work=lambda fields: 0.01, cell=1, zone="a"):
        self.record, self.name, self.group, self.primary = record, name, group, primary
        self.work, self.cell, self.zone = work, cell, zone
        self.seen = []
        self.holds = 0
        self.up = False
        self.server = None
        self.writers = set()
        self.port = None
        self.started_ms = 0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port or 0)
        self.port = self.server.sockets[0].getsockname()[1]
        self.up = True

    def entry(self, lifecycle="active"):
        return {"instanceId": self.name, "hostPort": f"127.0.0.1:{self.port}", "zone": self.zone,
                "machineType": "m1", "cell": self.cell, "lifecycle": lifecycle, "weight": 1.0,
                "startedAtMs": self.started_ms}

    def position_ms(self):
        return int(now() * 1000) if self.primary else self.group.replica_position_ms()

    def note(self, position_ms):
        return parameter("role", "primary" if self.primary else "replica") + parameter("applied_ms", position_ms)

    def report(self):
        at = self.position_ms() / 1000
        return f"x0={at:.3f},x1={1 if self.primary else 0},inflight={self.holds}".encode()

    def saw(self, what):
        self.seen.append((now(), what))
        self.record(f"server {self.name} {what}")

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            await self.converse(reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def converse(self, reader, writer):
        await self.welcome(reader, writer)
        while True:
            statement = await self.next_query(reader)
            if statement is None:
                return
            writer.write(await self.answer(statement))
            await writer.drain()

    async def welcome(self, reader, writer, after=0.0):
        """Reads the startup message and welcomes whoever comes, `after` seconds later."""
        length, = struct.unpack(">I", await reader.readexactly(4))
        await reader.readexactly(length - 4)
        self.saw("connection")
        await asyncio.sleep(after)
        writer.write(message(b"R", struct.pack(">I", 0)) + parameter("server_version", "15.0") +
                     parameter("standard_conforming_strings", "on") + READY)

    @staticmethod
    async def next_query(reader):
        """The statement of the next query; None at the client's end."""
        kind = await reader.readexactly(1)
        length, = struct.unpack(">I", await reader.readexactly(4))
        body = await reader.readexactly(length - 4)
        return body[:-1].decode() if kind == b"Q" else None

    async def answer(self, statement):
        if statement == "SHOW load":
            self.saw("probe")
            return row(self.report(), "SHOW", "load", binary=False) + READY
        fields = comment_of(statement)
        if not statement.strip() or "id" not in fields:
            return message(b"I") + READY if not statement.strip() else error("08P01", "unknown statement") + READY
        key = QUOTED.search(statement).group(1)
        is_write = statement.startswith("INSERT")
        position = self.position_ms()  # what it reads is what it has when it begins
        self.saw(f"{'write' if is_write else 'read'} id={fields['id']} key={key} d={fields.get('d')} at={position}")
        if is_write and not self.primary:
            return error("25006", "read-only") + self.note(position) + READY
        self.holds += 1
        try:
            await asyncio.sleep(self.work(fields))
        finally:
            self.holds -= 1
        if not is_write:
            value = self.group.value(key, position)
            self.record(f"server {self.name} answers id={fields['id']} value={value.decode()}")
            return row(value, "SELECT 1") + self.note(position) + READY
        value = bytes.fromhex(re.search(r"\\x([0-9a-f]*)", statement).group(1))
        commit = self.group.commit(key, value)
        self.record(f"server {self.name} commits id={fields['id']} key={key} value={value.decode()} at={commit}")
        return row(value, "INSERT 0 1") + self.note(commit) + READY

    async def stop(self):
        self.up = False
        if self.server:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


# ---- discovery --------------------------------------------------------------------------------------

class Registry:
    """Discovery for one proxy or more. Answers each call at once."""

    def __init__(self, record):
        self.record = record
        self.generation = 1
        self.entries = {}  # name: (generation, entry)
        self.watches = set()
        self.turns_away = False

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def set(self, entry):
        self.generation += 1
        self.entries[entry["instanceId"]] = (self.generation, entry)
        for event in self.watches:
            event.set()

    def turn_away(self, on):
        """While on, each new call is answered at once with 503; watches that are open go on."""
        self.turns_away = on
        self.record(f"discovery {'turns callers away' if on else 'takes calls'}")

    def list(self, after=0, whole=True):
        instances = [e for g, e in self.entries.values()
                     if g > after and not (whole and e["lifecycle"] == "left")]
        return {"generation": self.generation, "reset": whole, "instances": instances}

    async def serve(self, reader, writer):
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            target = head.split(" ", 2)[1]
            if self.turns_away:
                self.record(f"discovery answers 503 to {target}")
                writer.write(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
                await writer.drain()
                return
            if "watch=1" not in target:
                body = json.dumps(self.list()).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
                await writer.drain()
                return
            after = int(re.search(r"after=(\d+)", target).group(1))
            await self.watch(after, writer)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def watch(self, after, writer):
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        changed = asyncio.Event()
        self.watches.add(changed)
        try:
            told, first = after, True
            while True:
                text = b"\n"
                if first or self.generation > told:
                    whole = first and not 0 < after <= self.generation
                    text = json.dumps(self.list(0 if whole else told, whole)).encode() + b"\n"
                    told, first = self.generation, False
                    self.record(f"discovery tells {text.decode().strip()}")
                writer.write(b"%x\r\n" % len(text) + text + b"\r\n")
                await writer.drain()
                changed.clear()
                try:
                    await asyncio.wait_for(changed.wait(), 2.0)
                except asyncio.TimeoutError:
                    pass
        finally:
            self.watches.discard(changed)


# ---- clients ----------------------------------------------------------------------------------------

class Answer:
    """The answer to one command: `value` if it was served, otherwise the SQLSTATE in `code`."""

    def __init__(self):
        self.value, self.code, self.empty, self.at = None, None, False, None

    def text(self):
        return f"value={self.value.decode()}" if self.value is not None else f"code={self.code}"


class Closed(Exception):
    """The proxy ended the connection. `graceful`: with an end, not with a reset."""

    def __init__(self, graceful):
        super().__init__("closed" if graceful else "reset")
        self.graceful = graceful


class Client:
    """One connection of a client. Commands are answered in their order."""

    async def connect(self, port):
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", port)
        self.writer.transport.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        body = struct.pack(">I", 196608) + b"user\0api\0database\0ledger\0\0"
        self.writer.write(struct.pack(">I", len(body) + 4) + body)
        await self.answer()  # up to the first ReadyForQuery
        return self

    def send(self, statement):
        self.writer.write(message(b"Q", statement.encode() + b"\0"))

    async def answer(self):
        answer = Answer()
        try:
            while True:
                kind = await self.reader.readexactly(1)
                length, = struct.unpack(">I", await self.reader.readexactly(4))
                body = await self.reader.readexactly(length - 4)
                if kind == b"D":
                    answer.value = body[6:]
                elif kind == b"I":
                    answer.empty = True
                elif kind == b"E":
                    fields = dict((f[:1], f[1:]) for f in body.split(b"\0") if f)
                    answer.code, answer.value = fields[b"C"].decode(), None
                    if fields.get(b"S") == b"FATAL":
                        break
                elif kind == b"Z":
                    break
        except asyncio.IncompleteReadError as ended:
            raise Closed(True) from ended
        except ConnectionError as reset:
            raise Closed(False) from reset
        answer.at = now()
        return answer

    async def ask(self, statement):
        self.send(statement)
        return await self.answer()

    def close(self):
        self.writer.close()


class Ids:
    """New ids and keys for each request."""

    def __init__(self):
        self.last = 0

    def new(self):
        self.last += 1
        return f"{os.getpid():08x}{self.last:08x}"


def read_statement(key, request_id, name, deadline_ms, cell=1):
    return (f"SELECT blob FROM rows WHERE handle = '{key}' "
            f"/* id={request_id},c={name},d={deadline_ms},cluster={cell} */")


def write_statement(key, value, request_id, name, deadline_ms, cell=1):
    return (f"INSERT INTO rows (handle, blob) VALUES ('{key}', '\\x{value.encode().hex()}') RETURNING blob "
            f"/* id={request_id},c={name},d={deadline_ms},k={request_id},cluster={cell} */")


# ---- the proxy --------------------------------------------------------------------------------------

def run_command():
    """`run` of the deploy file."""
    with open(os.path.join(ROOT, "deploy", "balancer.toml"), encoding="utf-8") as deploy:
        return re.search(r'^run *= *"([^"]*)"', deploy.read(), re.M).group(1)


def request_class(name, deadline_ms, aim_ms, effect="safe", group="all", late=0.0, worth=1.0, window_ms=2000):
    return {"name": name, "deadlineUs": deadline_ms * 1000, "promiseUs": aim_ms * 1000, "effect": effect,
            "group": group, "lateWorth": late, "worth": worth, "memorySpanUs": window_ms * 1000, "stream": False}


def settings(classes, needs, bounds_ms, proxies=3, **changes):
    """The settings of a small deployment, with the names and figures of the WIRE page's example."""
    value = {
        "allowed": {"attemptsCap": 8, "cancel": True, "cpuUsPerRequest": 0.0, "cpuUsPerS": 80000,
                    "dialTimeoutUs": 250000, "idleCloseUs": 15000000, "maxRetryAfterUs": 1000000,
                    "mostHeld": 20000, "multiplex": 1, "parallelTries": False, "peers": False, "probing": True,
                    "retryAfter": True},
        "balancers": proxies, "classes": classes, "clients": {"marksRetry": False}, "countedBy": "request",
        "discovery": "subscribe", "family": "replicas",
        "goal": {"whole": 0.55, "worstClass": 0.3, "worstTenant": 0.0, "worstWindow": 0.15},
        "kinds": ["m1"], "layers": ["guide-db"], "myZone": 0,
        "obligations": {"answerSlackUs": 20000, "coldUs": 18000000, "drainGraceUs": 1000000, "fallMultiple": 2.5,
                        "fallUs": 1500000, "mustAskInUs": 10000000, "startCapacity": 0.21},
        "overShareWorth": 0.1,
        "prices": {"connection": 0.0, "crossZone": 0.014, "discovery": 0.0, "handshake": 0.0, "lateFail": 0.038,
                   "moves": 0.0, "origin": 0.0, "peer": 0.01, "probe": 0.016, "waste": 0.031},
        "report": {"how": "pull", "names": ["x0", "x1", "inflight"]},
        "slotNo": 0,
        "specifics": {"checks": "silent", "classBoundUs": [b * 1000 for b in bounds_ms], "consistency": needs,
                      "holdsForUs": 0, "notes": "position", "reportX0": "position", "reportX1": "primary",
                      "roleListed": "silent", "sessionMarks": "carried", "stamps": True, "synchronous": False,
                      "zeroUs": 0},
        "stage": 0, "stepUs": 5000, "tenants": [], "weights": "rough", "zones": ["a"]}
    for part, figures in changes.items():
        value[part].update(figures)
    return value


class Proxy:
    """One process of the proxy, started as the platform does. `folder` holds its files."""

    def __init__(self, record, name, folder, port, known, registry_port, values, control=None, limits=None):
        self.record, self.name, self.folder, self.port, self.control = record, name, folder, port, control
        self.known, self.registry_port = known, registry_port
        self.config = os.path.join(folder, f"config-{control or port}.json")
        self.log = os.path.join(folder, f"log-{control or port}")
        self.limits = limits or {"cores": 1.0, "memory_mb": 96, "sockets": 512}
        self.temporary = os.path.join(folder, "tmp-" + name)  # $TMPDIR, shared with a second process of this proxy
        os.makedirs(self.temporary, exist_ok=True)
        self.process = None
        self.write_config(values)

    def write_config(self, values):
        """Replaces the configuration file at once, as the platform does."""
        config = {"name": self.name, "listen": f"127.0.0.1:{self.port}",
                  "discovery": f"127.0.0.1:{self.registry_port}", "seed": "8c1f30d27a5be964",
                  "limits": self.limits, "known": self.known, "settings": values}
        if self.control:
            config["control"] = f"127.0.0.1:{self.control}"
        with open(self.config + ".new", "w", encoding="utf-8") as file:
            json.dump(config, file)
        os.replace(self.config + ".new", self.config)

    async def start(self):
        if not os.access(os.path.join(ROOT, run_command().split()[-1]), os.X_OK):
            raise CannotRun("the program of the deploy file is not built")
        environment = dict(os.environ, NODE_NAME=self.name, NODE_LISTEN=f"127.0.0.1:{self.port}",
                           NODE_DISCOVERY=f"127.0.0.1:{self.registry_port}", NODE_CONFIG=self.config,
                           TMPDIR=self.temporary)
        if self.control:
            environment["NODE_CONTROL"] = f"127.0.0.1:{self.control}"
        with open(self.log, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", run_command(), cwd=ROOT, env=environment, stdin=asyncio.subprocess.DEVNULL,
                stdout=log, stderr=log)
        self.record(f"proxy {self.name} started, pid {self.process.pid}")

    async def answers_empty_query(self, limit=10.0):
        """Waits until it takes clients."""
        end = now() + limit
        while now() < end:
            try:
                client = await Client().connect(self.port)
                answer = await client.ask("")
                client.close()
                if answer.empty:
                    return
            except (OSError, Closed):
                await asyncio.sleep(0.05)
        raise CannotRun("the proxy is not ready")

    def signal(self, number):
        self.record(f"proxy {self.name} pid {self.process.pid} gets {signal.Signals(number).name}")
        if self.process.returncode is None:
            self.process.send_signal(number)

    async def says_yes(self, limit=6.0):
        """Waits until STATUS at its second address is answered with yes."""
        end = now() + limit
        while now() < end:
            try:
                if (await self.call("STATUS")).startswith("SUCCESS"):
                    return
            except OSError:
                pass
            await asyncio.sleep(0.05)
        raise CannotRun("the new process does not say yes")

    async def call(self, line):
        """One call at the second address; returns the line that answers it."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.control)
        writer.write(line.encode() + b"\n")
        answer = (await reader.readline()).decode().strip()
        writer.close()
        self.record(f"operator to pid {self.process.pid}: {line} -> {answer}")
        return answer

    async def kill(self):
        if self.process and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


class Deployment:
    """Discovery and the data servers of one group: a primary and its replicas."""

    def __init__(self, record, members, work=lambda fields: 0.01, group=None):
        self.group = group or Group()
        self.servers = [DataServer(record, f"s-{k}", self.group, k == 0, work) for k in range(members)]
        self.registry = Registry(record)

    async def start(self):
        await self.registry.start()
        for server in self.servers:
            await server.start()
            self.registry.set(server.entry())

    async def stop(self):
        for server in self.servers:
            await server.stop()


class CannotRun(Exception):
    """The case could not be played; exit status 2."""


async def within(scenario, limit):
    """Ends the scenario at its limit or at SIGTERM, so that it ends its processes."""
    task = asyncio.ensure_future(scenario)
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    return await asyncio.wait_for(task, limit)


def say(text):
    """Prints a line; a reader that has gone changes no verdict."""
    try:
        print(text, flush=True)
    except OSError:
        sys.stdout = open(os.devnull, "w", encoding="utf-8")


BROKEN, HELD, NOT_RUN = 10, 0, 2  # exit statuses; run.sh turns 10 into 1, so that an error of Python is no verdict


def play(folder, scenario):
    """Runs `scenario(record, trouble, folder)`, which returns a line for each break, and exits with the verdict."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(os.path.join(folder, "record.txt"))
    record(f"trouble {'on' if trouble else 'off'}")
    try:
        with tempfile.TemporaryDirectory() as temporary:
            breaks = asyncio.run(within(scenario(record, trouble, temporary), 110))
    except (Exception, asyncio.CancelledError) as cause:
        record(f"could not run: {cause!r}")
        say(f"could not run: {cause!r}")
        raise SystemExit(NOT_RUN) from cause
    for line in breaks:
        record(f"BROKEN {line}")
        say(f"BROKEN {line}")
    record(f"rule {'broken' if breaks else 'held'}")
    say(f"rule {'broken' if breaks else 'held'}, {len(breaks)} breaks")
    raise SystemExit(BROKEN if breaks else HELD)
