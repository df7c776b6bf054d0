"""A class of session reads appears with SIGHUP; its reads miss writes that this process had answered."""
import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__)))))
from standins import (Client, Deployment, Ids, Proxy, free_port, now, play, read_statement,  # noqa: E402
                      request_class, settings, write_statement)

CLASSES = [request_class("tour-read", 1200, 400),
           request_class("handset-write", 3000, 1000, "keyed", "cell", late=0.5, worth=6.0)]
APPEARS = request_class("own-view", 1200, 400)
REMEMBERED = {"sessionMarks": "remembered"}
BEFORE = settings(CLASSES, ["bounded", "write"], [200, 0], specifics=REMEMBERED)
AFTER = settings(CLASSES + [APPEARS], ["bounded", "write", "session"], [200, 0, 0], specifics=REMEMBERED)

SESSIONS = 20
LAG_GROWS_FOR = 6.0  # seconds before the writes
APPLY_PACE = 0.25    # a thread that is busy half of the time and 8 times slower keeps a quarter of the pace


async def usual_traffic(client, ids, seconds):
    """Reads and writes of the old classes, so that the proxy knows roles and positions."""
    end = now() + seconds
    while now() < end:
        await client.ask(read_statement("warm", ids.new(), "tour-read", 1200))
        await client.ask(write_statement("warm", "w", ids.new(), "handset-write", 3000))
        await asyncio.sleep(0.2)


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
    """Each session reads what it wrote. A refusal or failure breaks nothing here."""
    breaks = []
    for key, value in written.items():
        answer = await client.ask(read_statement(key, ids.new(), "own-view", 1200))
        record(f"client read session={key} -> {answer.text()}")
        if answer.value is not None and answer.value != value:
            breaks.append(f"session {key} reads '{answer.value.decode()}', it had written '{value.decode()}'")
    return breaks


async def scenario(record, trouble, folder):
    deployment = Deployment(record, members=3)
    await deployment.start()
    deployment.group.slow_down(APPLY_PACE)  # two of three data servers, as replicas; with and without trouble
    proxy = Proxy(record, "n1", folder, free_port(), deployment.registry.list(), deployment.registry.port,
                  BEFORE if trouble else AFTER)
    try:
        await proxy.start()
        await proxy.answers_empty_query()
        ids = Ids()
        client = await Client().connect(proxy.port)
        await usual_traffic(client, ids, LAG_GROWS_FOR)
        written = await write_sessions(record, client, ids)
        if trouble:
            proxy.write_config(AFTER)
            proxy.signal(signal.SIGHUP)
        await asyncio.sleep(1.3)  # the class is put in use after 1.2 s
        return await read_sessions(record, client, ids, written)
    finally:
        await proxy.kill()
        await deployment.stop()


play(os.path.dirname(os.path.abspath(__file__)), scenario)
