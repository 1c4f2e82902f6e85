"""Servers that answer a second time some milliseconds late: see claim.txt."""

import asyncio
import os
import random
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lab2"))
from lab import BROKEN, HELD, TROUBLE, CannotRun, Client, Lab, Node, cache_answer, http, midlands, run_case

REQUESTS_PER_S = 125  # of 250 a second over two nodes
SECONDS = 60
LATE_S = 0.018
SHARE = 0.02
SIGNUPS, HITS = 0.057, 0.92


async def case(lab: Lab):
    rng = random.Random()
    await lab.start_servers(10)
    second_answers = [0]

    async def send(server, id_, writer, data):
        """Sends an answer, and now and then a second time."""
        writer.write(data)
        if TROUBLE and rng.random() < SHARE:
            await asyncio.sleep(0)
            second_answers[0] += 1

            def again():
                if not writer.is_closing():
                    lab.record(server, f"answers {id_} a second time, {LATE_S * 1000:.0f} ms late")
                    writer.write(data)
            asyncio.get_running_loop().call_later(LATE_S, again)
        await writer.drain()

    async def cache_answers(call):
        await asyncio.sleep(rng.uniform(0.04, 0.10))
        hit = rng.random() < HITS
        value = f"value of {call.key} for {call.id}".encode()
        await send(call.server.name, call.id, call.writer, cache_answer(value if hit else None, b"hit" if hit else b"miss"))
        return True

    async def origin_answers(method, key, id_, facts, body, writer):
        await asyncio.sleep(rng.uniform(0.04, 0.10))
        what = "value" if method == "GET" else "receipt"
        await send("origin", id_, writer, http(200, f"{what} of {key} for {id_}".encode()))
        return True

    for cache in lab.caches:
        cache.on_call = cache_answers
    lab.origin.on_request = origin_answers
    node = await Node(lab, midlands()).start()
    resting, foreign, closed = [], [], []

    async def ask(number):
        client = resting.pop() if resting else await Client(lab, f"client {number}").connect(node)
        id_, key = f"{number:016x}", f"address-{rng.randrange(500)}"
        if rng.random() < SIGNUPS:
            what = "receipt"
            client.send(["CACHE.SET", key, id_, f"c=reminder-signup,d=4000,k={id_}", b"text me"])
        else:
            what = "value"
            client.send(["CACHE.GET", key, id_, "c=lookup,d=1000"])
        answer = await client.answer(id_)
        if answer is None:
            closed.append(id_)
            return
        if isinstance(answer, bytes) and answer != f"{what} of {key} for {id_}".encode():
            foreign.append((id_, answer.decode()))
            lab.record("case", f"FOREIGN: {id_}, the {what} of {key}, was answered with the {answer.decode()!r}")
        resting.append(client)

    asking, number, ends_at = [], 0, lab.record.now() + SECONDS
    while lab.record.now() < ends_at:
        number += 1
        asking.append(asyncio.create_task(ask(number)))
        await asyncio.sleep(rng.expovariate(REQUESTS_PER_S))
    await asyncio.gather(*asking)
    if not TROUBLE and (closed or foreign):
        raise CannotRun(f"closed or foreign in calm: {closed} {foreign}")
    said = f"{len(foreign)} of {number} requests were served with another request's value; {second_answers[0]} second answers"
    return (BROKEN if foreign else HELD), f"{said}; {foreign[:2]}"


run_case(__file__, case)
