"""Clients that send much at once and go: see claim.txt."""

import asyncio
import os
import random
import socket
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lab2"))
from lab import BROKEN, HELD, TROUBLE, Client, Lab, Node, cache_answer, command, midlands, http, read_frame, run_case

BAD_CLIENTS, EVERY_S = 40, 1.6
COMMANDS = 20_000
SENDS_FOR_S = 0.03
GONE_S, SOCKETS_S = 0.1, 0.05
# What work takes in the mean, by the site file: 55 to 100 ms at a speed of 1, 78 to 140 ms for a signup, and at the origin up
# to 0.25 of the shortest aim for a fetch.
WORK_S, SIGNUP_S, FETCH_S = 0.077, 0.109, 0.06
SPEED = {"standard": 0.97, "slow": 0.60}


async def case(lab: Lab):
    rng = random.Random()
    await lab.start_servers(10)
    for cache in lab.caches[6:]:
        cache.kind = "slow"  # 42 % of the machines
    begun, ran = [], []

    async def box_answers(call):
        begun.append((lab.record.now(), call.id, call.server.name, call.verb))
        await asyncio.sleep(WORK_S / SPEED[call.server.kind] * rng.lognormvariate(-0.08, 0.4))
        hit = rng.random() < 0.93
        value = f"value of {call.key} for {call.id}".encode()
        try:
            await call.send(cache_answer(value if hit else None, b"hit" if hit else b"miss"))
        except ConnectionError:
            pass
        return True

    async def origin_answers(method, key, id_, facts, body, writer):
        begun.append((lab.record.now(), id_, "origin", method))
        await asyncio.sleep((2 * SIGNUP_S if method == "PUT" else FETCH_S) * rng.lognormvariate(-0.08, 0.4))
        if method == "PUT":
            ran.append(id_)
            lab.record("origin", f"runs {method} {key} {id_} of the class {facts.get('c')}")
        writer.write(http(200, f"for {id_}".encode()))
        await writer.drain()
        return True

    for cache in lab.caches:
        cache.on_call = box_answers
    lab.origin.on_request = origin_answers
    node = await Node(lab, midlands()).start()
    lag = asyncio.create_task(lab.measure_lag())
    ends = asyncio.Event()

    def words(id_):
        """A request of the site's mix."""
        draw, key = rng.random(), f"address-{rng.randrange(500)}"
        if draw < 0.057:
            return ["CACHE.SET", key, id_, f"c=reminder-signup,d=4000,k={id_}", b"text me"]
        return ["CACHE.GET", key, id_, "c=lookup,d=1000"]

    async def resident(number):
        """A sound client, which makes some of the usual load."""
        client, n = await Client(lab, f"resident {number}").connect(node), 0
        while not ends.is_set():
            n += 1
            id_ = f"{number:08x}{n:08x}"
            client.send(words(id_))
            if await client.answer(id_) is None:
                client = await Client(lab, f"resident {number}").connect(node)
            await asyncio.sleep(rng.expovariate(10))

    async def stay(sock, sent):
        """Without the disruption: reads all answers before it closes."""
        reader, writer = await asyncio.open_connection(sock=sock, limit=1 << 20)
        whole = b"".join(sent).count(b"CACHE.")
        for _ in range(whole):
            await read_frame(reader)
        writer.close()

    residents = [asyncio.create_task(resident(number)) for number in range(4)]
    await asyncio.sleep(3)
    gone_at, staying = {}, []
    for number in range(BAD_CLIENTS):
        name = f"bad{number:05x}"
        texts = [command(*words(f"{name}{n:08x}")) for n in range(COMMANDS if TROUBLE else 300)]
        await asyncio.sleep(0.1)
        sock = socket.create_connection((node.host, node.port))
        sock.setblocking(False)
        data, sent, until = memoryview(b"".join(texts)), 0, time.monotonic() + SENDS_FOR_S
        while sent < len(data) and time.monotonic() < until:
            try:
                sent += sock.send(data[sent:sent + 65536])
            except BlockingIOError:
                await asyncio.sleep(0.001)
        if TROUBLE:
            sock.close()
            gone_at[name] = lab.record.now()
            lab.record(name, f"has sent {sent} bytes of commands at once, and closes")
        else:
            lab.record(name, f"has sent {sent} bytes of commands at once, and stays")
            staying.append(asyncio.create_task(stay(sock, texts)))
        await asyncio.sleep(EVERY_S - 0.1)
    ends.set()
    await asyncio.gather(*residents, *staying)
    lag.cancel()
    late = []
    for at, id_, server, verb in begun:
        left = gone_at.get(id_[:8])
        if left is not None and at - lab.lag_at(at) > left + GONE_S + SOCKETS_S:
            late.append((round(at - left, 3), id_, server, verb))
            lab.record("case", f"BEGUN {at - left:.3f} s after the client had gone: {verb} {id_} at {server}")
    of = {id_[:8] for _, id_, _, _ in late}
    writes = [id_ for _, id_, _, verb in late if verb == "PUT"]
    said = (f"{len(late)} attempts for {len(of)} of {BAD_CLIENTS} clients began more than 0.15 s after these had closed, the last "
            f"{max(late)[0] if late else 0} s after; {len(writes)} of them were writes, {len(set(writes) & set(ran))} ran")
    return (BROKEN if late else HELD), said


run_case(__file__, case)
