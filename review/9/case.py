"""A large value that flows while its node is told to end: see claim.txt."""

import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lab2"))
from lab import BROKEN, HELD, TROUBLE, Client, Lab, Node, midlands, run_case

VALUE_BYTES = 4 << 20  # DAYS: values reach 4 MiB
PIECE_BYTES = 16 << 10
TAKES_S = 6.0
SIGTERM_AFTER_S = 0.5
# SIGKILL comes no sooner than 3 s, the most that counts of the longest deadline, and 0.7 s after SIGTERM. Here it comes then.
SIGKILL_AFTER_S = 10.0


async def case(lab: Lab):
    await lab.start_servers(10)
    given, gives = [0], asyncio.Event()

    async def give_large(call):
        """The box writes the value in small pieces, with no pause longer than a few milliseconds."""
        loop = asyncio.get_running_loop()
        start = loop.time()
        gives.set()
        try:
            await call.send(b"*3\r\n$%d\r\n" % VALUE_BYTES)
            for at in range(0, VALUE_BYTES, PIECE_BYTES):
                await asyncio.sleep(max(0.0, start + TAKES_S * at / VALUE_BYTES - loop.time()))
                await call.send(b"x" * PIECE_BYTES)
                given[0] = at + PIECE_BYTES
            await call.send(b"\r\n$3\r\nhit\r\n$-1\r\n")
            lab.record(call.server.name, "has given the whole value")
        except ConnectionError:
            lab.record(call.server.name, f"has given {given[0]} bytes; the node has closed the connection")
        return True

    for cache in lab.caches:
        cache.on_call = give_large
    node = await Node(lab, midlands()).start()
    client = await Client(lab, "client").connect(node)
    client.send(["CACHE.GET", "rounds-of-the-council", "00000000000000a0", "c=lookup,d=1000"])
    await asyncio.wait_for(gives.wait(), 5)
    await asyncio.sleep(SIGTERM_AFTER_S)
    told_at = lab.record.now()
    if TROUBLE:
        node.signal(signal.SIGTERM)
        asyncio.get_running_loop().call_later(SIGKILL_AFTER_S, node.kill)
    answer = await client.answer("00000000000000a0")
    after = lab.record.now() - told_at
    if answer is not None and len(answer) == VALUE_BYTES:
        return HELD, f"the whole value has come, {after:.2f} s after the time of SIGTERM"
    for _ in range(100):
        if node.ended() is not None:
            break
        await asyncio.sleep(0.02)
    return BROKEN, (f"the value was cut off {after:.2f} s after SIGTERM with {given[0]} of {VALUE_BYTES} bytes given; "
                    f"the node has ended by itself with {node.ended()}")


run_case(__file__, case)
