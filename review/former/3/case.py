"""During an upgrade two data servers are taken out, one call at each process; the first ban is lost."""
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
GRACE = 1.0
SLACK = 0.2        # 50 ms of the pages, the rest for what a stand-in notices late
WATCHED_FOR = 6.0  # seconds after the last call


class Load:
    """Clients that ask one thing after the other, on a new connection from time to time."""

    def __init__(self, port, ids):
        self.port, self.ids, self.stopped = port, ids, False
        self.tasks = [asyncio.ensure_future(self.run()) for _ in range(CLIENTS)]

    async def run(self):
        while not self.stopped:
            try:
                client = await Client().connect(self.port)
                for _ in range(ASKS_BY_CONNECTION):
                    await client.ask(read_statement("k", self.ids.new(), "tour-read", 1200))
                    await client.ask(write_statement("k", "w", self.ids.new(), "handset-write", 3000))
                client.close()
            except (Closed, OSError):
                pass  # the process that ends closes its connections: ask again on a new one
            await asyncio.sleep(0.02)

    async def stop(self):
        self.stopped = True
        await asyncio.gather(*self.tasks)


async def take_out(proxy, server):
    """SUSPEND; returns when the yes came."""
    answer = await proxy.call(f"SUSPEND {server.name}")
    if not answer.startswith("SUCCESS"):
        raise CannotRun(f"SUSPEND was answered with {answer}")
    return now()


def sent_after_grace(server, said_yes):
    late = [(at, what) for at, what in server.seen if at > said_yes + GRACE + SLACK]
    if not late:
        return []
    at, what = late[0]
    return [f"{server.name} is suspended and was sent {len(late)} things after the grace, the first "
            f"{1000 * (at - said_yes):.0f} ms after the yes: {what}"]


async def scenario(record, trouble, folder):
    deployment = Deployment(record, members=5)
    await deployment.start()
    port, known = free_port(), deployment.registry.list()

    def process():
        return Proxy(record, "n1", folder, port, known, deployment.registry.port, VALUES, control=free_port())

    old = process()
    new = process() if trouble else old
    load = None
    try:
        await old.start()
        await old.answers_empty_query()
        load = Load(port, Ids())
        await asyncio.sleep(2.0)
        first, second = deployment.servers[1:3]
        if not first.seen or not second.seen:
            raise CannotRun("the data servers were not in use before")
        if trouble:
            await new.start()
            await new.says_yes()
        # Both processes serve and count as one proxy: one call at the old one, the next at the new one.
        yes_first = await take_out(old, first)
        yes_second = await take_out(new, second)
        if trouble:
            old.signal(signal.SIGTERM)
        await asyncio.sleep(WATCHED_FOR)
        await new.call("STATUS")
        return sent_after_grace(first, yes_first) + sent_after_grace(second, yes_second)
    finally:
        if load:
            load.stopped = True
        await old.kill()
        await new.kill()
        await deployment.stop()


play(os.path.dirname(os.path.abspath(__file__)), scenario)
