"""After SIGHUP to a discovery that turns calls away, a draining server still gets requests 5.05 s after SIGHUP."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import standins2 as s  # noqa: E402

GRACE = 1.0 + 0.05   # obligations.drainGraceUs, and the 50 ms of the protocol page
TOLD = 4.0           # "What discovery has to tell counts as told 4 s after SIGHUP."
OLD_CLOSES = 1.5     # "closes the open ones after 1.5 s"
CROWDED = 8.0        # after SIGHUP


async def case(record, temporary):
    servers = [s.DataServer(record, f"s-{k}", primary=k == 0) for k in range(3)]
    for server in servers:
        await server.start()
    old, new = s.Discovery(record, servers, "old discovery"), s.Discovery(record, servers, "new discovery")
    await old.start()
    await new.start()
    leaving = servers[2]
    tree = s.settings(("any-read", "handset-write"))
    proxy = s.Proxy(record, temporary, old.address, tree, old.whole())
    proxy.start()
    await proxy.ready()
    client = s.Client(proxy)
    await client.open()
    begun = time.time()
    while time.time() < begun + 2:
        await client.ask("any-read", 1200)

    new.crowded = s.TROUBLE
    proxy.discovery = new.address
    proxy.configure(tree)
    proxy.signal(s.signal.SIGHUP)
    signalled = time.time()
    old.server.close()  # no new connection

    async def events():
        await asyncio.sleep(OLD_CLOSES)
        old.close_all()
        await asyncio.sleep(0.5)
        await new.change(new.entry(leaving, "leaving"))
        await asyncio.sleep(max(0, signalled + CROWDED - time.time()))
        new.crowded = False

    happening = asyncio.create_task(events())
    while time.time() < signalled + CROWDED + 1:
        await client.ask("any-read", 1200)
        await asyncio.sleep(0.05)
    await happening
    client.close()
    late = [(at - signalled, name) for at, name, _ in leaving.runs if at > signalled + TOLD + GRACE]
    return [f"drain: {name} sent to {leaving.name} {at:.2f} s after SIGHUP"
            for at, name in late[:5]] + ([f"{len(late)} such sends"] if late else [])


s.main(os.path.join(FOLDER, "record.txt"), case, 60)
