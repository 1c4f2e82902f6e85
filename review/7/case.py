"""A batch of commands whose first value breaks off: see claim.txt."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lab2"))
from lab import BROKEN, HELD, TROUBLE, CannotRun, Client, Lab, Node, bulk, midlands, run_case

VALUE_BYTES = 4 << 20  # DAYS: values reach 4 MiB
BYTES_PER_SECOND = 1 << 20
PIECE_BYTES = 16 << 10
DIES_AFTER_S = 2.0
LARGE_KEY = "rounds-of-the-council"


async def case(lab: Lab):
    await lab.start_servers(10)
    addresses = {f"address-{n}": f"bins of address {n}".encode() for n in range(30)}
    gives = asyncio.get_running_loop().create_future()

    async def give_large(call):
        """The box that holds the large value writes it in small pieces."""
        if call.key != LARGE_KEY:
            return False
        gives.set_result(call.server)
        loop = asyncio.get_running_loop()
        start = loop.time()
        await call.send(b"*3\r\n$%d\r\n" % VALUE_BYTES)
        for at in range(0, VALUE_BYTES, PIECE_BYTES):
            await asyncio.sleep(max(0.0, start + at / BYTES_PER_SECOND - loop.time()))
            await call.send(b"x" * PIECE_BYTES)
        await call.send(b"\r\n" + bulk(b"hit") + bulk(None))
        lab.record(call.server.name, f"has given all of {call.id}")
        return True

    for cache in lab.caches:
        cache.values.update(addresses)
        cache.on_call = give_large
    node = await Node(lab, midlands()).start()
    usual = await Client(lab, "usual client").connect(node)
    for n, key in enumerate(addresses):
        usual.send(["CACHE.GET", key, f"{n:016x}", "c=lookup,d=1000"])
        if await usual.answer(f"{n:016x}") != addresses[key]:
            raise CannotRun("a read in calm was not served")
    client = await Client(lab, "client").connect(node)
    behind = [
        ["CACHE.SET", "address-7", "00000000000000a1", "c=reminder-signup,d=4000,k=00000000000000b1", b"text me"],
        ["CACHE.GET", "address-8", "00000000000000a2", "c=lookup,d=1000"],
        ["CACHE.GET", "address-9", "00000000000000a3", "c=lookup,d=1000"]]
    client.send(["CACHE.GET", LARGE_KEY, "00000000000000a0", "c=lookup,d=1000"], *behind)
    box = await asyncio.wait_for(gives, 5)
    if TROUBLE:
        asyncio.get_running_loop().call_later(DIES_AFTER_S, box.die)
    # The large value itself has failed if it breaks off, and is not lost.
    large = await client.answer("00000000000000a0")
    if not TROUBLE and large is None:
        raise CannotRun("the large value did not come")
    unanswered = [words[2] for words in behind if await client.answer(words[2]) is None]
    # What servers got from the node, the node has read.
    forwarded = {id_ for cache in lab.caches for _, _, id_ in cache.calls} | {id_ for _, _, id_ in lab.origin.runs}
    lost = [id_ for id_ in unanswered if id_ in forwarded]
    ran = [id_ for _, _, id_ in lab.origin.runs if id_ in unanswered]
    if lost:
        return BROKEN, f"read, forwarded, answered by the servers, and never answered to the client: {lost}; of these ran: {ran}"
    return HELD, "each command behind the large value has its answer"


run_case(__file__, case)
