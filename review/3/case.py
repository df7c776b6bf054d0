"""Sessions write through a process that is then replaced under load; their reads miss the writes."""
import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
from standins import (CannotRun, Client, Closed, Deployment, Ids, Proxy, free_port, now, play,  # noqa: E402
                      read_statement, request_class, settings, write_statement)

CLASSES = [request_class("tour-read", 1200, 400),
           request_class("own-view", 1200, 400),
           request_class("handset-write", 3000, 1000, "keyed", "cell", late=0.5, worth=6.0)]
VALUES = settings(CLASSES, ["bounded", "session", "write"], [200, 0, 0], specifics={"sessionMarks": "remembered"})

SESSIONS = 20
LAG_GROWS_FOR = 6.0   # seconds before the writes
APPLY_PACE = 0.25     # a thread that is busy half of the time and 8 times slower keeps a quarter of the pace
TRAFFIC_FOR = 1.5     # seconds of usual traffic between the start of the new process and the reads
LEAST_READS = 10      # session reads that have to be served for a verdict


class ReconnectingClient:
    """Asks on one connection. If the proxy ends it between two requests, asks once more on a new one."""

    def __init__(self, port):
        self.port, self.client = port, None

    async def ask(self, statement):
        try:
            return await self.ask_once(statement)
        except (Closed, OSError):
            self.client = None
            return await self.ask_once(statement)

    async def ask_once(self, statement):
        self.client = self.client or await Client().connect(self.port)
        return await self.client.ask(statement)

    def close(self):
        if self.client:
            self.client.close()
            self.client = None


async def usual_traffic(client, ids, seconds):
    """Reads and writes of a session that is not judged, so that a process knows roles and positions."""
    end = now() + seconds
    while now() < end:
        await client.ask(read_statement("warm", ids.new(), "tour-read", 1200))
        await client.ask(write_statement("warm", "w", ids.new(), "handset-write", 3000))
        await asyncio.sleep(0.1)


async def write_sessions(record, client, ids):
    """Each session writes once. Returns the value of each session whose write was answered as served."""
    written = {}
    for k in range(SESSIONS):
        key, value = f"{k:016x}", f"written-{k}"
        answer = await client.ask(write_statement(key, value, ids.new(), "handset-write", 3000))
        record(f"client write session={key} value={value} -> {answer.text()}")
        if answer.value is not None:
            written[key] = value.encode()
    return written


async def read_sessions(record, client, ids, written):
    """Each session reads what it wrote. Returns the breaks; a refusal or failure is none."""
    breaks, served = [], 0
    for key, value in written.items():
        answer = await client.ask(read_statement(key, ids.new(), "own-view", 1200))
        record(f"client read session={key} -> {answer.text()}")
        served += answer.value is not None
        if answer.value is not None and answer.value != value:
            breaks.append(f"session {key} reads '{answer.value.decode()}', it had written '{value.decode()}'")
    if served < LEAST_READS:
        raise CannotRun(f"only {served} session reads were served")
    return breaks


async def scenario(record, trouble, folder):
    deployment = Deployment(record, members=3)
    await deployment.start()
    deployment.group.slow_down(APPLY_PACE)  # two of three data servers, as replicas; with and without trouble
    port, known = free_port(), deployment.registry.list()

    def process():
        return Proxy(record, "n1", folder, port, known, deployment.registry.port, VALUES, control=free_port())

    old = process()
    new = process() if trouble else old
    try:
        await old.start()
        await old.answers_empty_query()
        ids = Ids()
        client = ReconnectingClient(port)
        await usual_traffic(client, ids, LAG_GROWS_FOR)
        written = await write_sessions(record, client, ids)
        client.close()
        if trouble:
            await new.start()
            await new.says_yes()
            old.signal(signal.SIGTERM)  # from here on new connections go to the new process
        client = ReconnectingClient(port)
        await usual_traffic(client, ids, TRAFFIC_FOR)
        client.close()  # the session reads come on a new connection: the old process has stopped listening
        breaks = await read_sessions(record, client, ids, written)
        client.close()
        return breaks
    finally:
        await old.kill()
        await new.kill()
        await deployment.stop()


play(os.path.dirname(os.path.abspath(__file__)), scenario)
