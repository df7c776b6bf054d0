"""Stand-ins for the cases review/6 and later: data servers, discovery, clients and the platform.

Everything runs in one asyncio loop on addresses of 127.0.0.0/8. What each stand-in promises stands
in its class. The proxies are the project's own program, started with `run` of deploy/balancer.toml.
"""

import asyncio
import json
import os
import re
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    """The case could not run; the script then exits with 2."""


class Record:
    """Writes a case's record.txt: a line for each thing sent, answered or run, with seconds since the start."""

    def __init__(self, path):
        self.start = time.time()
        self.file = open(path, "w", encoding="utf-8")
        self.write(f"TROUBLE={int(TROUBLE)}")

    def write(self, text):
        self.file.write(f"{time.time() - self.start:9.3f} {text}\n")
        self.file.flush()


def unix_ms():
    return int(time.time() * 1000)


def message(kind, body=b""):
    return kind + struct.pack(">I", len(body) + 4) + body


def startup_message():
    body = struct.pack(">I", 196608) + b"user\0api\0database\0ledger\0\0"
    return struct.pack(">I", len(body) + 4) + body


def parameter(name, value):
    return message(b"S", name.encode() + b"\0" + str(value).encode() + b"\0")


READY = message(b"Z", b"I")


def error(code, text):
    fields = b"".join(k + v.encode() + b"\0" for k, v in ((b"S", "ERROR"), (b"C", code), (b"M", text)))
    return message(b"E", fields + b"\0")


def row(value, name=b"blob", binary=True, tag=b"SELECT 1"):
    column = name + b"\0" + struct.pack(">IHIhih", 0, 0, 17 if binary else 25, -1, -1, 1 if binary else 0)
    return (message(b"T", struct.pack(">H", 1) + column)
            + message(b"D", struct.pack(">HI", 1, len(value)) + value)
            + message(b"C", tag + b"\0"))


def comment_of(statement):
    entries = statement[statement.rfind("/*") + 2:statement.rfind("*/")].strip()
    return dict(entry.strip().split("=", 1) for entry in entries.split(","))


def free_port(host="127.0.0.1"):
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


class DataServer:
    """A data server: protocol 3, no password, one request at a time on a connection.

    It answers a request after `work` seconds with its role and position, a write at a replica with
    25006, `SELECT 1` and `SHOW load` at once (beside the queue). While `hanging`, it hangs in the
    middle of its work: requests begin, also those that it has already, and are not answered before
    the hang is over. `runs` holds each request that began, with the time of its last byte.
    `arrivals` holds everything else that came: connections and probes.
    """

    def __init__(self, record, name, primary=False, work=0.005):
        self.record = record
        self.name = name
        self.primary = primary
        self.work = work
        self.hanging = False
        self.reports_in_answers = False
        self.lag_ms = 10
        self.runs = []
        self.arrivals = []
        self.writers = set()
        self.host, self.port = "127.0.0.1", 0
        self.server = None

    @property
    def address(self):
        return f"{self.host}:{self.port}"

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.host, self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    async def stop(self):
        """Ends the process: its connections are reset, new ones are refused."""
        self.server.close()
        for writer in list(self.writers):
            reset(writer)
        await asyncio.sleep(0)

    def position(self):
        return unix_ms() if self.primary else unix_ms() - self.lag_ms

    def report(self):
        return f"x0={self.position() / 1000:.3f},x1={int(self.primary)},inflight=0,util=0.1,queue=0".encode()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        self.arrivals.append((time.time(), "connection"))
        try:
            await self.converse(reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def converse(self, reader, writer):
        length = struct.unpack(">I", await reader.readexactly(4))[0]
        await reader.readexactly(length - 4)
        writer.write(message(b"R", struct.pack(">I", 0)) + READY)
        while True:
            kind = await reader.readexactly(1)
            length = struct.unpack(">I", await reader.readexactly(4))[0]
            body = await reader.readexactly(length - 4)
            if kind != b"Q":
                return
            await self.answer(body.rstrip(b"\0").decode(), writer)
            await writer.drain()

    async def answer(self, statement, writer):
        if statement in ("SELECT 1", "SHOW load"):
            self.arrivals.append((time.time(), statement))
            writer.write(row(self.report(), b"load", False) + READY)
            return
        if "/*" not in statement:
            writer.write(message(b"C", b"SET\0") + READY)
            return
        values = comment_of(statement)
        self.runs.append((time.time(), values["id"], statement))
        self.record.write(f"{self.name} begins {values['id']} c={values['c']} d={values.get('d')}")
        await asyncio.sleep(self.work)
        while self.hanging:
            await asyncio.sleep(0.02)
        await self.reply(statement, values, writer)

    async def reply(self, statement, values, writer):
        write = statement.startswith("INSERT")
        note = parameter("role", "primary" if self.primary else "replica")
        if write and not self.primary:
            writer.write(note + error("25006", "read-only") + READY)
            return
        note += parameter("applied_ms", self.position() + (1 if write else 0))
        if self.reports_in_answers:
            note += parameter("load", self.report().decode())
        writer.write(row(values["id"].encode(), tag=b"INSERT 0 1" if write else b"SELECT 1") + note + READY)


def reset(writer):
    sock = writer.get_extra_info("socket")
    if sock is not None:
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        except OSError:
            pass
    writer.transport.abort()


class Discovery:
    """Discovery, or the agent where lists are pushed: HTTP with watches.

    It answers a call at once with what changed after the version asked for, else with the whole
    list, and writes an empty line every 2 s while nothing changes. While `silent` (discovery is
    down where lists are pushed) it accepts calls and writes nothing; what its open watches and
    waiting calls are owed is written when it is back. While `crowded`, a call waits for 2 s, too
    long, and then ends with 503.
    """

    def __init__(self, record, servers, name="discovery"):
        self.record = record
        self.name = name
        self.generation = 41
        self.entries = {}
        for server in servers:
            self.entries[server.name] = self.entry(server)
        self.changes = []  # (generation, entry)
        self.silent = False
        self.crowded = False
        self.changed = asyncio.Condition()
        self.server = None
        self.port = 0
        self.writers = set()

    @staticmethod
    def entry(server, lifecycle="active", started=0, cell=2):
        return {"instanceId": server.name, "hostPort": server.address, "zone": "ruwi", "machineType": "four-core",
                "cell": cell, "lifecycle": lifecycle, "weight": 1.0, "startedAtMs": started}

    @property
    def address(self):
        return f"127.0.0.1:{self.port}"

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def whole(self):
        return {"generation": self.generation, "reset": True, "instances": list(self.entries.values())}

    async def change(self, entry):
        self.generation += 1
        if entry["lifecycle"] == "left":
            self.entries.pop(entry["instanceId"], None)
        else:
            self.entries[entry["instanceId"]] = entry
        self.changes.append((self.generation, entry))
        self.record.write(f"{self.name} has generation {self.generation}: {entry['instanceId']} {entry['lifecycle']}")
        async with self.changed:
            self.changed.notify_all()

    async def set_silent(self, silent):
        self.silent = silent
        self.record.write(f"{self.name} is {'silent' if silent else 'back'}")
        async with self.changed:
            self.changed.notify_all()

    def close_all(self):
        """Ends all open calls and watches."""
        self.record.write(f"{self.name} closes its connections")
        for writer in list(self.writers):
            writer.close()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            await self.call(head.split()[1], writer)
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def call(self, target, writer):
        after = re.search(r"after=(\d+)", target)
        after = int(after.group(1)) if after else 0
        self.record.write(f"{self.name} is called: {target}")
        if self.crowded:
            await asyncio.sleep(2)
            self.record.write(f"{self.name} turns a call away")
            writer.write(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
            await writer.drain()
            return
        await self.until_back()
        if "watch=1" not in target:
            body = (json.dumps(self.whole()) + "\n").encode()
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
            await writer.drain()
            return
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        known = after
        first = True
        while not writer.is_closing():
            await self.until_back()
            if first or known != self.generation:
                known = self.write_list(writer, known, first)
                first = False
            else:
                self.chunk(writer, b"\n")
            await writer.drain()
            async with self.changed:
                if known == self.generation:
                    try:
                        await asyncio.wait_for(self.changed.wait(), 2)
                    except asyncio.TimeoutError:
                        pass

    async def until_back(self):
        while self.silent:
            async with self.changed:
                await self.changed.wait()

    def write_list(self, writer, known, first):
        oldest = self.generation - len(self.changes)
        if oldest <= known <= self.generation:
            latest = {e["instanceId"]: e for g, e in self.changes if g > known}
            told = {"generation": self.generation, "reset": False, "instances": list(latest.values())}
        else:
            told = self.whole()
        self.chunk(writer, (json.dumps(told) + "\n").encode())
        self.record.write(f"{self.name} writes generation {self.generation} (after {known})")
        return self.generation

    @staticmethod
    def chunk(writer, data):
        writer.write(b"%x\r\n" % len(data) + data + b"\r\n")


def classes(*wanted):
    known = {
        "tour-read": {"name": "tour-read", "effect": "safe", "group": "all", "promiseUs": 400000,
                      "deadlineUs": 1200000, "worth": 1.0, "lateWorth": 0.0, "memorySpanUs": 5000000,
                      "stream": False},
        "any-read": {"name": "any-read", "effect": "safe", "group": "all", "promiseUs": 400000,
                     "deadlineUs": 1200000, "worth": 1.0, "lateWorth": 0.5, "memorySpanUs": 5000000,
                     "stream": False},
        "handset-write": {"name": "handset-write", "effect": "keyed", "group": "cell", "promiseUs": 1000000,
                          "deadlineUs": 3000000, "worth": 6.0, "lateWorth": 0.5, "memorySpanUs": 2000000,
                          "stream": False},
        "browse": {"name": "browse", "effect": "safe", "group": "all", "promiseUs": 400000, "deadlineUs": 1000000,
                   "worth": 1.0, "lateWorth": 0.2, "memorySpanUs": 0, "stream": False},
        "book-pay": {"name": "book-pay", "effect": "unsafe", "group": "all", "promiseUs": 600000,
                     "deadlineUs": 3000000, "worth": 3.0, "lateWorth": 0.3, "memorySpanUs": 0, "stream": False},
        "rental-report": {"name": "rental-report", "effect": "safe", "group": "all", "promiseUs": 1000000,
                          "deadlineUs": 3000000, "worth": 1.0, "lateWorth": 0.5, "memorySpanUs": 5000000,
                          "stream": False},
    }
    return [dict(known[name]) for name in wanted]


CONSISTENCY = {"tour-read": ("bounded", 200000), "any-read": ("any", 0), "handset-write": ("write", 0),
               "rental-report": ("any", 0), "browse": ("bounded", 500000), "book-pay": ("write", 0)}


def settings(names=("tour-read", "handset-write"), **changes):
    """The settings of a small deployment, under the names of the wire page."""
    tree = {
        "balancers": 1, "slotNo": 0, "myZone": 0, "stage": 0, "layers": ["guide-db"], "zones": ["ruwi", "seeb"],
        "kinds": ["four-core"], "tenants": [], "weights": "rough", "family": "replicas", "countedBy": "request",
        "discovery": "subscribe", "clients": {"marksRetry": False}, "overShareWorth": 0.1, "stepUs": 5000,
        "classes": classes(*names),
        "allowed": {"attemptsCap": 8, "cancel": True, "cpuUsPerRequest": 0.0, "cpuUsPerS": 800000,
                    "dialTimeoutUs": 250000, "idleCloseUs": 15000000, "maxRetryAfterUs": 1000000, "mostHeld": 20000,
                    "multiplex": 1, "parallelTries": False, "peers": False, "probing": True, "retryAfter": True},
        "goal": {"whole": 0.55, "worstClass": 0.3, "worstTenant": 0.0, "worstWindow": 0.15},
        "obligations": {"answerSlackUs": 20000, "coldUs": 18000000, "drainGraceUs": 1000000, "fallMultiple": 2.5,
                        "fallUs": 1500000, "mustAskInUs": 10000000, "startCapacity": 0.21},
        "prices": {"connection": 0.0, "crossZone": 0.014, "discovery": 0.0, "handshake": 0.0, "lateFail": 0.038,
                   "moves": 0.0, "origin": 0.0, "peer": 0.01, "probe": 0.016, "waste": 0.031},
        "report": {"how": "pull", "names": ["x0", "x1", "inflight"]},
        "specifics": {"checks": "silent", "classBoundUs": [CONSISTENCY[n][1] for n in names],
                      "consistency": [CONSISTENCY[n][0] for n in names], "holdsForUs": 0,
                      "notes": "position in ms after zero x 4, plus 1 from a primary or 2 from a replica",
                      "reportX0": "position in seconds after zero", "reportX1": "1 from a primary",
                      "roleListed": "silent", "sessionMarks": "carried", "stamps": True, "synchronous": False,
                      "zeroUs": 0},
    }
    for path, value in changes.items():
        *parents, last = path.split("__")
        at = tree
        for parent in parents:
            at = at[parent]
        at[last] = value
    return tree


class Proxy:
    """One proxy as the platform starts it: `run` of the deploy file by /bin/sh from the root."""

    def __init__(self, record, folder, discovery, tree, known, name="n0", port=None, control=None, tmp=None,
                 sockets=1024, folder_name=None):
        self.record = record
        self.name = name
        self.port = port or free_port()
        self.folder = os.path.join(folder, folder_name or name)
        self.tmp = tmp or os.path.join(self.folder, "tmp")
        os.makedirs(self.tmp, exist_ok=True)
        os.makedirs(self.folder, exist_ok=True)
        self.control = control
        self.discovery = discovery
        self.known = known
        self.process = None
        self.sockets = sockets
        self.config_path = os.path.join(self.folder, "config.json")
        self.configure(tree)

    def configure(self, tree):
        config = {"name": self.name, "listen": f"127.0.0.1:{self.port}", "discovery": self.discovery,
                  "seed": os.urandom(8).hex(), "limits": {"cores": 1.0, "memory_mb": 192, "sockets": self.sockets},
                  "known": self.known, "settings": tree}
        if self.control:
            config["control"] = self.control
        temporary = self.config_path + ".new"
        with open(temporary, "w", encoding="utf-8") as file:
            json.dump(config, file)
        os.replace(temporary, self.config_path)

    def start(self):
        with open(os.path.join(ROOT, "deploy", "balancer.toml"), encoding="utf-8") as file:
            run = re.search(r'^run *= *"([^"]*)"', file.read(), re.M).group(1)
        if not os.path.exists(os.path.join(ROOT, run.split()[-1])):
            raise CannotRun("the program is not built: " + run)
        environment = dict(os.environ, NODE_NAME=self.name, NODE_LISTEN=f"127.0.0.1:{self.port}",
                           NODE_DISCOVERY=self.discovery, NODE_CONFIG=self.config_path, TMPDIR=self.tmp)
        if self.control:
            environment["NODE_CONTROL"] = self.control
        log = open(os.path.join(self.folder, "log.txt"), "a", encoding="utf-8")
        self.process = subprocess.Popen(["/bin/sh", "-c", run], cwd=ROOT, env=environment, stdout=log, stderr=log,
                                        stdin=subprocess.DEVNULL)
        PROCESSES.append(self.process)
        self.record.write(f"proxy {self.name} started")

    def signal(self, number):
        self.record.write(f"proxy {self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def ready(self, limit=10):
        """Waits until an empty query is answered with EmptyQueryResponse."""
        end = time.time() + limit
        while time.time() < end:
            if self.process.poll() is not None:
                raise CannotRun(f"proxy {self.name} ended with {self.process.returncode}")
            try:
                client = Client(self)
                await client.open()
                client.writer.write(message(b"Q", b"\0"))
                kinds = await asyncio.wait_for(client.until_ready(), 1)
                client.close()
                if b"I" in kinds:
                    self.record.write(f"proxy {self.name} is ready")
                    return
            except (ConnectionError, OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.05)
        raise CannotRun(f"proxy {self.name} was not ready in time")


PROCESSES = []


class Client:
    """A client's connection: startup, then requests one after another or several at once."""

    serial = 0

    def __init__(self, proxy):
        self.proxy = proxy

    async def open(self):
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.proxy.port)
        self.startup()
        await self.until_ready()

    def startup(self):
        self.writer.write(startup_message())

    def close(self):
        self.writer.close()

    async def message(self):
        kind = await self.reader.readexactly(1)
        length = struct.unpack(">I", await self.reader.readexactly(4))[0]
        return kind, await self.reader.readexactly(length - 4)

    async def until_ready(self):
        kinds = []
        while True:
            kind, _ = await self.message()
            kinds.append(kind)
            if kind == b"Z":
                return kinds

    @classmethod
    def statement(cls, class_name, d, key="7f3a9c21e0b4d655", cell=2, k=None, value="9f03"):
        cls.serial += 1
        name = f"{os.getpid():08x}{cls.serial:08x}"
        extra = f",k={k}" if k else ""
        tail = f"/* id={name},c={class_name},d={d}{extra},cluster={cell} */"
        if class_name.endswith("write"):
            return name, f"INSERT INTO rows (handle, blob) VALUES ('{key}', '\\x{value}') RETURNING blob {tail}"
        return name, f"SELECT blob FROM rows WHERE handle = '{key}' {tail}"

    def send(self, text, name):
        self.proxy.record.write(f"client sends {name}")
        self.writer.write(message(b"Q", text.encode() + b"\0"))

    async def answer(self, name):
        """The answer to the oldest open request: served, refused, failed, or lost at the connection's end."""
        outcome, value = None, None
        try:
            while True:
                kind, body = await self.message()
                if kind == b"D":
                    value = body[6:]
                elif kind == b"C" and value is not None:
                    outcome = "served"
                elif kind == b"E":
                    fields = dict((f[:1], f[1:].decode()) for f in body.split(b"\0") if f)
                    outcome = "refused" if fields[b"C"] in ("53300", "57P03") else "failed"
                    value = fields[b"C"].encode()
                    if fields.get(b"S") == "FATAL":
                        break
                elif kind == b"Z":
                    break
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            outcome = outcome or "lost"
        self.proxy.record.write(f"client gets {name}: {outcome} {value!r}")
        return outcome, value

    async def ask(self, class_name, d, **how):
        name, text = self.statement(class_name, d, **how)
        self.send(text, name)
        return name, await self.answer(name)


def main(path, case, limit=110):
    """Runs `case(record, temporary folder)`, which returns the broken rules as texts, with its record at `path`.

    Ends all processes that the case started, and exits as the cases have to.
    """
    record = Record(path)
    temporary = tempfile.mkdtemp(prefix="sablespur-review-")
    status = 2
    try:
        broken = asyncio.run(asyncio.wait_for(case(record, temporary), limit))
        for text in broken:
            record.write("BROKEN " + text)
            print("BROKEN " + text)
        if not broken:
            record.write("the rule held")
            print("the rule held")
        status = 1 if broken else 0
    except (CannotRun, asyncio.TimeoutError, OSError) as problem:
        record.write(f"could not run: {problem!r}")
        print(f"could not run: {problem!r}")
    finally:
        for process in PROCESSES:
            if process.poll() is None:
                process.kill()
            process.wait()
        for name in sorted(os.listdir(temporary)):
            log = os.path.join(temporary, name, "log.txt")
            if os.path.exists(log):
                with open(log, encoding="utf-8", errors="replace") as file:
                    for line in file:
                        record.file.write(f"  log {name}: {line}")
        record.file.close()
        shutil.rmtree(temporary, ignore_errors=True)
    sys.stdout.flush()
    os._exit(status)  # without the complaints of tasks that are still open
