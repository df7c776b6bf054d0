"""A restarted proxy sends to a draining server as long as a crowded discovery turns its calls away."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import standins2 as s  # noqa: E402

GRACE = 1.0 + 0.05  # obligations.drainGraceUs, and the 50 ms of the protocol page
TOLD = 6.0          # "at the latest 6 s after discovery had it and could be reached", here counted from the start
CROWDED = 10.0


async def case(record, temporary):
    servers = [s.DataServer(record, f"s-{k}", primary=k == 0) for k in range(3)]
    for server in servers:
        await server.start()
    discovery = s.Discovery(record, servers)
    await discovery.start()
    leaving = servers[2]
    tree = s.settings(("any-read", "handset-write"))
    proxy = s.Proxy(record, temporary, discovery.address, tree, discovery.whole())
    proxy.start()
    await proxy.ready()
    client = s.Client(proxy)
    await client.open()
    for _ in range(10):
        await client.ask("any-read", 1200)
    known = discovery.whole()  # as this proxy last had it

    proxy.signal(s.signal.SIGKILL)
    proxy.process.wait()
    await discovery.change(discovery.entry(leaving, "leaving"))
    await asyncio.sleep(1)
    discovery.crowded = s.TROUBLE
    proxy.known = known
    proxy.configure(tree)
    proxy.start()
    started = time.time()
    await proxy.ready()
    client = s.Client(proxy)
    await client.open()
    while time.time() < started + CROWDED:
        await client.ask("any-read", 1200)
        await asyncio.sleep(0.05)
    discovery.crowded = False
    client.close()
    late = [(at - started, name) for at, name, _ in leaving.runs if at > started + TOLD + GRACE]
    return [f"drain: {name} sent to {leaving.name} {at:.2f} s after the start of the process"
            for at, name in late[:5]] + ([f"{len(late)} such sends"] if late else [])


s.main(os.path.join(FOLDER, "record.txt"), case, 60)
