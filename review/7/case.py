"""After a restart during an outage of discovery the proxy goes back to a server that has begun to drain."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import standins2 as s  # noqa: E402

GRACE = 1.0 + 0.05  # obligations.drainGraceUs, and the 50 ms of the protocol page
OUTAGE = 9.0        # "for some seconds" and "longer outages of discovery"


async def case(record, temporary):
    servers = [s.DataServer(record, f"s-{k}", primary=k == 0) for k in range(3)]
    for server in servers:
        server.reports_in_answers = True
        await server.start()
    agent = s.Discovery(record, servers, "agent")
    await agent.start()
    leaving = servers[2]
    tree = s.settings(("browse", "book-pay"), discovery="automatic", weights="silent", specifics__checks="refuse",
                      report={"how": "piggyback", "names": ["x0", "x1", "util", "queue"]})
    proxy = s.Proxy(record, temporary, agent.address, tree, agent.whole())
    proxy.start()
    await proxy.ready()
    client = s.Client(proxy)
    await client.open()
    for _ in range(10):
        await client.ask("browse", 1000)
    known = agent.whole()  # as this proxy last had it

    proxy.signal(s.signal.SIGKILL)
    proxy.process.wait()
    await agent.change(agent.entry(leaving, "leaving"))
    await asyncio.sleep(1)
    if s.TROUBLE:
        await agent.set_silent(True)
    proxy.known = known
    proxy.configure(tree)
    proxy.start()
    started = time.time()
    await proxy.ready()
    client = s.Client(proxy)
    await client.open()
    while time.time() < started + OUTAGE:
        await client.ask("browse", 1000)
        await asyncio.sleep(0.1)
    await agent.set_silent(False)
    client.close()
    late = [(at - started, name) for at, name, _ in leaving.runs if at > started + GRACE]
    return [f"drain: {name} sent to {leaving.name} {at:.2f} s after the start of the process, which counts as told"
            for at, name in late[:5]] + ([f"{len(late)} such sends"] if late else [])


s.main(os.path.join(FOLDER, "record.txt"), case, 60)
