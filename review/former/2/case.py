"""The class with the longest deadline vanishes; at the next planned restart requests are left unanswered."""
import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__)))))
from standins import (Client, Closed, Deployment, Ids, Proxy, free_port, now, play, read_statement,  # noqa: E402
                      request_class, settings)

READS = [request_class("queue-view", 1500, 500, late=0.2),
         request_class("parts-lookup", 1200, 400, late=0.2, worth=2.0)]
WRITE = request_class("ticket-write", 5000, 1000, "keyed", "cell", late=0.5, worth=6.0, window_ms=3000)
WITH_WRITE = settings(READS + [WRITE], ["bounded", "any", "write"], [1500, 0, 0])
WITHOUT_WRITE = settings(READS, ["bounded", "any"], [1500, 0])

WORK = 0.075                # seconds, the middle of the class's 55 to 95 ms
CONNECTIONS = 6
COMMANDS = 8                # open on each connection at once
LONGEST_DEADLINE = 1.5      # of the settings in force at SIGTERM
KILL_AFTER = LONGEST_DEADLINE + 0.7 + 0.05  # each limit is 50 ms longer on sockets
JUDGED_AFTER = 0.7          # what came later than this after SIGTERM must be answered at SIGKILL


class Pipeline:
    """A client's connection on which so many commands are open at once. It sends as long as the connection
    stays open, and notes what is unanswered when it ends or when the proxy is killed."""

    def __init__(self, record, number):
        self.record, self.number = record, number
        self.open = []  # (id, time of its last byte)
        self.ended_by_proxy = False
        self.answered = 0

    def send(self, ids):
        request = ids.new()
        self.client.send(read_statement(f"{self.number:016x}", request, "queue-view", 1500))
        self.open.append((request, now()))
        self.record(f"client {self.number} sends id={request}")

    async def run(self, port, ids):
        self.client = await Client().connect(port)
        for _ in range(COMMANDS):
            self.send(ids)
        try:
            while True:
                answer = await self.client.answer()
                request, _ = self.open.pop(0)
                self.answered += 1
                self.record(f"client {self.number} id={request} -> {answer.text()}")
                self.send(ids)
        except Closed as end:
            self.ended_by_proxy = True
            self.record(f"client {self.number} {end}, {len(self.open)} crossed the end or are unanswered")


def unanswered(pipelines, terminated):
    """The requests that came more than 0.7 s after SIGTERM on connections that are still open."""
    return [f"id={request}, {1000 * (at - terminated):.0f} ms after SIGTERM, unanswered at SIGKILL"
            for pipeline in pipelines if not pipeline.ended_by_proxy
            for request, at in pipeline.open if at > terminated + JUDGED_AFTER]


async def scenario(record, trouble, folder):
    deployment = Deployment(record, members=4, work=lambda fields: WORK)
    await deployment.start()
    proxy = Proxy(record, "n1", folder, free_port(), deployment.registry.list(), deployment.registry.port,
                  WITH_WRITE if trouble else WITHOUT_WRITE)
    try:
        await proxy.start()
        await proxy.answers_empty_query()
        await asyncio.sleep(1.2)  # SIGHUP never comes within the first second
        if trouble:
            proxy.write_config(WITHOUT_WRITE)
            proxy.signal(signal.SIGHUP)
        await asyncio.sleep(5.2)  # longer than any request of the class that vanished could last
        ids = Ids()
        pipelines = [Pipeline(record, n) for n in range(CONNECTIONS)]
        tasks = [asyncio.ensure_future(p.run(proxy.port, ids)) for p in pipelines]
        await asyncio.sleep(2.0)
        terminated = now()
        proxy.signal(signal.SIGTERM)
        await asyncio.sleep(KILL_AFTER)
        breaks = unanswered(pipelines, terminated)
        proxy.signal(signal.SIGKILL)
        await asyncio.gather(*tasks)
        record(f"answered {sum(p.answered for p in pipelines)}")
        return breaks
    finally:
        await proxy.kill()
        await deployment.stop()


play(os.path.dirname(os.path.abspath(__file__)), scenario)
