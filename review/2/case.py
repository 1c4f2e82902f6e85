"""Clients that send many commands at once, each time one write and some reads, while the origin's queue is full."""

import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))
import standins as s  # noqa: E402

MEMORY_MB, SOCKETS = 96, 512  # DAYS: "memory and descriptors are halved", from 192 MB and 1,024 descriptors
CACHES = 8
VALUE = 65_000  # PROTOCOL: a value holds at most 64 KiB
READS = 16  # for one write: 5.9 % of the requests are writes; BRIEF has 5.7 %
CLIENTS_PER_S, FOR_S = 28, 9  # 476 requests/s
WRITE_MS, READ_MS = 4000, 1000  # the give-up times of BRIEF
FULL_FROM_S, FULL_S = 2.0, 10.0  # BRIEF, 'Seen in service': troubles of 8.9 to 35 s
QUEUE_S = 2.1  # the site file: origin_queue_s = [0.3, 2.1]
CACHE_WORK_S, ORIGIN_WORK_S = 0.06, 0.1


class LongCache(s.Cache):
    async def answer(self, writer, key, request, facts):
        await asyncio.sleep(CACHE_WORK_S)
        writer.write(s.hit((f"{key}/{request}:".encode() * (VALUE // 16))[:VALUE]))
        await writer.drain()


class BusyOrigin(s.Origin):
    """Answers after its work, and while it is overloaded (by other nodes, say) after the time of a full queue as well."""

    full_until = 0.0

    async def serve(self, reader, writer):
        while True:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            lines = head.split("\r\n")
            method, path, _ = lines[0].split(" ")
            headers = {name.lower(): value.strip()
                       for name, _, value in (line.partition(":") for line in lines[1:] if line)}
            await reader.readexactly(int(headers.get("content-length", "0")))
            request = headers["x-correlation-id"]
            self.record(self.name, f"got {method} {path} id={request}")
            await asyncio.sleep(ORIGIN_WORK_S + (QUEUE_S if s.now() < self.full_until else 0))
            body = f"{path[1:]}/{request}".encode()
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
            await writer.drain()
            self.record(self.name, f"answered id={request}")


def resident_mb(pid):
    with open(f"/proc/{pid}/status", encoding="utf-8") as status:
        for line in status:
            if line.startswith("RssAnon"):  # the program's own pages, which come from its file, are left out
                return int(line.split()[1]) / 1024
    return 0.0


async def watch_memory(record, platform, peak):
    """The platform: "Over `memory_mb` the node is killed"."""
    told = 0.0
    while not platform.has_ended():
        try:
            used = resident_mb(platform.process.pid)
        except OSError:
            return
        peak[0] = max(peak[0], used)
        if used >= told + 8 or used <= told - 8:
            record("platform", f"the node uses {used:.0f} MB")
            told = used
        if used > MEMORY_MB:
            record("platform", f"KILLED: the node uses {used:.1f} MB, over its {MEMORY_MB} MB")
            platform.process.kill()
            return
        await asyncio.sleep(0.02)


async def client(record, number, port, results):
    """Sends its commands in one write and reads each answer as soon as it comes."""
    one = s.Client(f"client-{number}", record, port)
    base = (number + 1) * 100
    commands = [s.command("CACHE.SET", f"house-{number}", "%016x" % base,
                          f"c=reminder-signup,d={WRITE_MS},k=%016x" % base, b"x" * 100)]
    commands += [s.command("CACHE.GET", f"street-{(base + n) % 97}", "%016x" % (base + n), f"c=lookup,d={READ_MS}")
                 for n in range(1, READS + 1)]
    answered = 0
    try:
        await one.connect()
        await one.send(*commands)
        record(one.name, f"sent {len(commands)} commands at once, ids from {base:x}")
        first = await asyncio.wait_for(one.answer(), 10)
        answered = 1
        record(one.name, f"answer to the write: {first[:40]!r}")
        for _ in range(READS):
            await asyncio.wait_for(one.answer(), 10)
            answered += 1
        record(one.name, "all answered")
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError) as error:
        record(one.name, f"LOST: {len(commands) - answered} commands without an answer: {error!r}")
    one.close()
    results.append((len(commands), answered))


async def case(record, to_end):
    caches = [await LongCache(f"cache-{n}", record).start() for n in range(CACHES)]
    origin = await BusyOrigin("origin", record).start()
    discovery = await s.Discovery("discovery", record).start()
    discovery.list(*(s.entry(c.name, c.addr) for c in caches), s.entry("origin", origin.addr, kind="origin"))
    platform = s.Platform(record, discovery, s.settings(), discovery.known(), memory_mb=MEMORY_MB, sockets=SOCKETS)
    to_end.append(platform)
    await platform.start()
    peak, results, tasks, begun = [0.0], [], [], s.now()
    watch = asyncio.create_task(watch_memory(record, platform, peak))
    for number in range(CLIENTS_PER_S * FOR_S):
        await asyncio.sleep(max(0.0, begun + number / CLIENTS_PER_S - s.now()))
        if s.TROUBLE and not origin.full_until and s.now() >= begun + FULL_FROM_S:
            origin.full_until = s.now() + FULL_S
            record("origin", f"its queue is full: answers take {QUEUE_S} s more")
        if platform.has_ended():
            break
        tasks.append(asyncio.create_task(client(record, number, platform.port, results)))
    await asyncio.gather(*tasks)
    watch.cancel()
    if not platform.has_ended():
        await platform.figures(["handled", "violations"])
    record("verdict", f"peak memory {peak[0]:.0f} MB of {MEMORY_MB} MB; "
                      f"{sum(got for _, got in results)} of {sum(sent for sent, _ in results)} commands answered")
    return not platform.has_ended()


s.run(HERE, case)
