"""A bad client that sends the id of a request which another client has open is served."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import standins2 as s  # noqa: E402

WORK = 0.08  # of a request, in seconds; "45 to 78 ms of work"
ROUNDS = 10


async def case(record, temporary):
    servers = [s.DataServer(record, f"s-{k}", primary=k == 0, work=WORK) for k in range(3)]
    for server in servers:
        await server.start()
    discovery = s.Discovery(record, servers)
    await discovery.start()
    proxy = s.Proxy(record, temporary, discovery.address, s.settings(("any-read", "handset-write")), discovery.whole())
    proxy.start()
    await proxy.ready()
    usual, bad = s.Client(proxy), s.Client(proxy)
    await usual.open()
    await bad.open()
    await usual.ask("handset-write", 3000, k="0" * 16)
    served, failed = 0, 0
    for number in range(ROUNDS):
        # The usual client sends three commands at once.
        sent = [s.Client.statement("handset-write", 3000, k=f"{number:08x}{k:08x}") for k in range(3)]
        for name, text in sent:
            usual.send(text, name)
        await asyncio.sleep(WORK / 4)
        if s.TROUBLE:
            # The id of the last of them, which the usual client has open, in a statement of the bad client's own.
            name = sent[2][0]
            own, text = s.Client.statement("any-read", 1200, key="b" * 16)
            record.write(f"the bad client takes the id {name} for its read {own}")
            bad.send(text.replace(own, name), name)
            outcome, _ = await bad.answer(name)
            served += outcome == "served"
        for name, _ in sent:
            outcome, value = await usual.answer(name)
            failed += outcome == "failed"
        if s.TROUBLE and outcome == "failed":
            record.write(f"the usual client's own request failed: {value}")
    record.write(f"bad client served {served} times of {ROUNDS}; requests of the usual client failed: {failed}")
    return [f"lost: {served} of {ROUNDS} requests with the id of an open request of another client were served"] \
        if served else []


s.main(os.path.join(FOLDER, "record.txt"), case, 60)
