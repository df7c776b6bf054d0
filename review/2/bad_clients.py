"""Bad clients: each sends hundreds of empty queries at once, reads what it is sent, and does it again.

Arguments: port, connections, commands that each sends at once, seconds. Prints how many were answered.
"""
import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
from standins import READY, Client, Closed, message  # noqa: E402

EMPTY_QUERY = message(b"Q", b"\0")
ANSWER = message(b"I") + READY  # EmptyQueryResponse, ReadyForQuery


async def bad_client(port, commands, until):
    """Returns how many commands were answered."""
    client = await Client().connect(port)
    answered = 0
    try:
        while time.time() < until:
            client.writer.write(EMPTY_QUERY * commands)
            left = commands * len(ANSWER)
            while left > 0:
                bytes_read = await client.reader.read(min(left, 1 << 16))
                if not bytes_read:
                    return answered
                left -= len(bytes_read)
            answered += commands
    except OSError:
        pass
    client.close()
    return answered


async def main():
    port, connections, commands = (int(argument) for argument in sys.argv[1:4])
    until = time.time() + float(sys.argv[4])
    answered = await asyncio.gather(*(bad_client(port, commands, until) for _ in range(connections)),
                                    return_exceptions=True)
    failed = [a for a in answered if isinstance(a, (Closed, OSError))]
    print(f"{sum(a for a in answered if isinstance(a, int))} empty queries answered on {connections} connections, "
          f"{len(failed)} connections not taken")


asyncio.run(main())
