"""Clients that send hundreds of empty queries at once; the usual clients beside them get no answer."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
from standins import (CannotRun, Client, Closed, Deployment, Ids, Proxy, free_port, now, play,  # noqa: E402
                      read_statement, request_class, settings, write_statement)

FOLDER = os.path.dirname(os.path.abspath(__file__))
CLASSES = [request_class("tour-read", 1200, 400),
           request_class("handset-write", 3000, 1000, "keyed", "cell", late=0.5, worth=6.0)]
VALUES = settings(CLASSES, ["bounded", "write"], [200, 0])

USUAL_CLIENTS = 6
CALM = 2.0           # seconds before the bad clients come, and again after they have gone
BAD_FOR = 8.0        # seconds
BAD_PROCESSES = 4
BAD_CONNECTIONS = 28  # of each process
COMMANDS = 300       # that a bad client sends at once
GRACE = 0.55         # the pages' half a second, and 50 ms on each limit
SLACK = 0.25         # what the stand-ins may notice late; a run in which they do by more is void
LEAST_ASKED = 50     # requests of the usual clients that a run needs


class UsualClients:
    """Each asks one thing after the other and waits for its answer. Keeps (id, sent, d, answered or None)."""

    def __init__(self, record, port):
        self.record, self.port, self.ids, self.stopped = record, port, Ids(), False
        self.asked, self.served = [], 0
        self.worst_delay = 0.0
        self.tasks = [asyncio.ensure_future(self.run(k)) for k in range(USUAL_CLIENTS)]
        self.tasks.append(asyncio.ensure_future(self.watch_own_delay()))

    async def watch_own_delay(self):
        """Measures how late this process itself is."""
        while not self.stopped:
            due = now() + 0.02
            await asyncio.sleep(0.02)
            self.worst_delay = max(self.worst_delay, now() - due)

    async def run(self, number):
        client = None
        while not self.stopped:
            try:
                client = client or await Client().connect(self.port)
                if not await self.ask(client, is_write=number == 0):
                    client.close()
                    client = None
            except (Closed, OSError):
                client = None  # ended between two requests: on a new connection
            await asyncio.sleep(0.02)
        if client:
            client.close()

    async def ask(self, client, is_write):
        """One request. Returns False if no answer came in its time; the client then gives up."""
        request, d = self.ids.new(), 3000 if is_write else 1200
        text = (write_statement("k", "w", request, "handset-write", d) if is_write
                else read_statement("k", request, "tour-read", d))
        sent, answered = now(), None
        self.record(f"usual client sends id={request} d={d}")
        try:
            answer = await asyncio.wait_for(client.ask(text), d / 1000 + GRACE + SLACK)
            answered = answer.at
            self.served += answer.value is not None
            self.record(f"usual client id={request} -> {answer.text()} after {1000 * (answered - sent):.0f} ms")
        except asyncio.TimeoutError:
            self.record(f"usual client id={request} has no answer after {1000 * (now() - sent):.0f} ms")
        except Closed as ended:
            self.record(f"usual client id={request}: the connection was {ended} without an answer")
            raise
        finally:
            self.asked.append((request, sent, d, answered))
        return answered is not None

    async def stop(self):
        self.stopped = True
        await asyncio.gather(*self.tasks)

    def breaks(self):
        found = []
        for request, sent, d, answered in self.asked:
            if answered is None:
                found.append(f"id={request} d={d}: no answer {1000 * (GRACE + SLACK):.0f} ms after its time")
            elif answered - sent > d / 1000 + GRACE + SLACK:
                found.append(f"id={request} d={d}: answered after {1000 * (answered - sent):.0f} ms")
        return found


async def bad_clients(record, port):
    """Starts the processes of the bad clients and waits until they have gone."""
    started = [await asyncio.create_subprocess_exec(
        sys.executable, os.path.join(FOLDER, "bad_clients.py"), str(port), str(BAD_CONNECTIONS), str(COMMANDS),
        str(BAD_FOR), stdout=asyncio.subprocess.PIPE) for _ in range(BAD_PROCESSES)]
    record(f"{BAD_PROCESSES} processes of {BAD_CONNECTIONS} bad clients start, each client sends {COMMANDS} at once")
    try:
        for process in started:
            output, _ = await asyncio.wait_for(process.communicate(), BAD_FOR + 20)
            record(f"bad clients of pid {process.pid}: {output.decode().strip()}")
            if process.returncode != 0:
                raise CannotRun("the bad clients did not run")
    finally:
        for process in started:
            if process.returncode is None:
                process.kill()
                await process.wait()


async def scenario(record, trouble, folder):
    deployment = Deployment(record, members=3)
    await deployment.start()
    proxy = Proxy(record, "n1", folder, free_port(), deployment.registry.list(), deployment.registry.port, VALUES)
    usual = None
    try:
        await proxy.start()
        await proxy.answers_empty_query()
        usual = UsualClients(record, proxy.port)
        await asyncio.sleep(CALM)
        if trouble:
            await bad_clients(record, proxy.port)
        else:
            await asyncio.sleep(BAD_FOR)
        await asyncio.sleep(CALM)
        await usual.stop()
        record(f"{len(usual.asked)} requests of usual clients, {usual.served} served; "
               f"this process was late by {1000 * usual.worst_delay:.0f} ms at most")
        if len(usual.asked) < LEAST_ASKED or usual.worst_delay > SLACK:
            raise CannotRun("too few requests, or the stand-ins were held up")
        return usual.breaks()
    finally:
        if usual:
            usual.stopped = True
        await proxy.kill()
        await deployment.stop()


play(FOLDER, scenario)
