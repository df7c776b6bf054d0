"""After a class has vanished by SIGHUP, a shutdown is planned for its deadline and leaves a request unanswered."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import standins2 as s  # noqa: E402

LONGEST = 1.5         # the longest deadline of the classes in force, in seconds
KILL = LONGEST + 0.7  # the earliest SIGKILL after SIGTERM
WORK = 0.11           # of a write, in seconds
SLOWER = 10           # `slow`: "2 to 10 times slower"


def tree(*names):
    made = s.settings(names)
    for entry in made["classes"]:
        if entry["name"] == "handset-write":
            entry["deadlineUs"] = int(LONGEST * 1e6)
    return made


async def case(record, temporary):
    servers = [s.DataServer(record, f"s-{k}", primary=k == 0, work=WORK) for k in range(4)]
    for server in servers:
        await server.start()
    discovery = s.Discovery(record, servers)
    await discovery.start()
    after = tree("tour-read", "handset-write")
    before = tree("tour-read", "handset-write", "rental-report") if s.TROUBLE else after
    proxy = s.Proxy(record, temporary, discovery.address, before, discovery.whole())
    proxy.start()
    await proxy.ready()
    client = s.Client(proxy)
    await client.open()
    for k in range(5):
        await client.ask("handset-write", 1500, k=f"{k:016x}")
    if s.TROUBLE:
        proxy.configure(after)
        proxy.signal(s.signal.SIGHUP)
        await asyncio.sleep(2)
        await client.ask("handset-write", 1500, k=f"{9:016x}")

    servers[0].work = WORK * SLOWER  # one of four data servers
    record.write(f"{servers[0].name} is {SLOWER} times slower")
    terminated = time.time()
    proxy.signal(s.signal.SIGTERM)
    await asyncio.sleep(0.2)
    first, text = s.Client.statement("handset-write", 1500, k="a" * 16)
    client.send(text, first)
    await asyncio.sleep(max(0, terminated + 0.85 - time.time()))
    second, text = s.Client.statement("handset-write", 1500, k="b" * 16)
    client.send(text, second)
    sent = time.time() - terminated

    async def answers():
        return [await client.answer(first), await client.answer(second)]

    waiting = asyncio.create_task(answers())
    await asyncio.sleep(max(0, terminated + KILL - time.time()))
    if proxy.process.poll() is None:
        proxy.signal(s.signal.SIGKILL)
    (one, _), (two, _) = await asyncio.wait_for(waiting, 5)
    broken = []
    if one == "lost":
        broken.append(f"lost: {first}, sent 0.2 s after SIGTERM, has no answer")
    if two == "lost" and any(name == second for server in servers for _, name, _ in server.runs):
        broken.append(f"lost: {second}, sent {sent:.2f} s after SIGTERM and forwarded, was unanswered at SIGKILL, "
                      f"{KILL:.1f} s after SIGTERM")
    return broken


s.main(FOLDER, case, 60)
