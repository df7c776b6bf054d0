"""A data server drains, and the proxy knows it. During an upgrade discovery turns callers away for some seconds."""
import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__)))))
from standins import (CannotRun, Client, Closed, Deployment, Ids, Proxy, free_port, now, play,  # noqa: E402
                      read_statement, request_class, settings, write_statement)

CLASSES = [request_class("tour-read", 1200, 400),
           request_class("handset-write", 3000, 1000, "keyed", "cell", late=0.5, worth=6.0)]
VALUES = settings(CLASSES, ["bounded", "write"], [200, 0])

CLIENTS = 4
ASKS_BY_CONNECTION = 20
GRACE = 1.0               # of a drain
TOLD_AFTER_YES = 2.0      # news from discovery counts as told so long after the yes
SLACK = 0.25              # 50 ms of the pages, the rest for what a stand-in notices late
DRAINS_BEFORE = 2.0       # seconds between the word that it drains and the upgrade
TURNED_AWAY_FOR = 6.0     # seconds after the new process's start


class Load:
    """Clients that ask one thing after the other, on a new connection from time to time."""

    def __init__(self, port, ids):
        self.port, self.ids, self.stopped, self.served = port, ids, False, 0
        self.tasks = [asyncio.ensure_future(self.run()) for _ in range(CLIENTS)]

    async def run(self):
        while not self.stopped:
            try:
                client = await Client().connect(self.port)
                for _ in range(ASKS_BY_CONNECTION):
                    answer = await client.ask(read_statement("k", self.ids.new(), "tour-read", 1200))
                    self.served += answer.value is not None
                    await client.ask(write_statement("k", "w", self.ids.new(), "handset-write", 3000))
                client.close()
            except (Closed, OSError):
                pass  # the process that ends closes its connections: ask again on a new one
            await asyncio.sleep(0.02)

    async def stop(self):
        self.stopped = True
        await asyncio.gather(*self.tasks)


def requests_after(server, instant):
    """The requests that came to the server after this instant."""
    return [(at, what) for at, what in server.seen if at > instant and what.split(" ")[0] in ("read", "write")]


async def scenario(record, trouble, folder):
    deployment = Deployment(record, members=4)
    await deployment.start()
    registry = deployment.registry
    port, known = free_port(), registry.list()

    def process():
        return Proxy(record, "n1", folder, port, known, registry.port, VALUES, control=free_port())

    old = process()
    new = process() if trouble else old
    load = None
    try:
        await old.start()
        await old.answers_empty_query()
        load = Load(port, Ids())
        await asyncio.sleep(2.0)
        drained = deployment.servers[1]
        if not requests_after(drained, 0):
            raise CannotRun("the data server was not in use before")
        registry.set(drained.entry("leaving"))
        told = now()
        await asyncio.sleep(DRAINS_BEFORE)
        if requests_after(drained, told + GRACE + SLACK):
            raise CannotRun("the old process went on by itself")
        registry.turn_away(True)  # watches that are open go on; with and without trouble
        if trouble:
            await new.start()
            await new.says_yes()
            old.signal(signal.SIGTERM)
        yes, served = now(), load.served
        await asyncio.sleep(TURNED_AWAY_FOR)
        registry.turn_away(False)
        ended = now()
        await asyncio.sleep(2.0)
        record(f"{load.served - served} reads were served after the yes")
        if load.served == served:
            raise CannotRun("no read was served after the yes")
        late = requests_after(drained, max(told + GRACE, yes + TOLD_AFTER_YES + GRACE) + SLACK)
        record(f"{len(requests_after(drained, ended + GRACE))} requests came to it after discovery was back")
        if not late:
            return []
        return [f"{drained.name} drains and was sent {len(late)} requests after the grace, the first "
                f"{1000 * (late[0][0] - yes):.0f} ms after the yes: {late[0][1]}"]
    finally:
        if load:
            load.stopped = True
        await old.kill()
        await new.kill()
        await deployment.stop()


play(os.path.dirname(os.path.abspath(__file__)), scenario)
