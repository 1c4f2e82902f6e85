"""Clients that send many commands at once, the first of which waits: the answers behind it fill the node's memory."""

import asyncio
import os
import pathlib
import signal
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))
import standins as s  # noqa: E402

CLIENTS = int(os.environ.get("CLIENTS", "28"))
COMMANDS = 64  # that one client sends at once; the node allows as many on a connection
VALUE = 64 << 10  # "values hold at most 64 KiB"
APART = 1 / 7  # one client begins so long after the other, so that 448 requests come in a second
QUEUE = 2.0  # what the origin's full queue adds to its answers: `origin_queue_s = [0.3, 2.1]` in the site file
WORK = 0.1  # the origin's own time
MEMORY_MB, SOCKETS = int(os.environ.get("MEMORY_MB", "96")), 512  # "memory and descriptors are halved"


class LargeCache(s.Cache):
    """A cache that holds every key, with values of 64 KiB."""

    async def serve(self, reader, writer):
        while True:
            words = await s.read_command(reader)
            key, request = (word.decode() for word in words[1:3])
            await asyncio.sleep(self.work)
            writer.write(s.hit(f"{key}/{request}".encode().ljust(VALUE, b".")))
            await writer.drain()


class QueueingOrigin(s.Origin):
    """The origin. While its queue is full, each request waits there before it is carried out."""

    wait = 0.0

    async def serve(self, reader, writer):
        while True:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            lines = head.split("\r\n")
            headers = {name.lower(): value.strip()
                       for name, _, value in (line.partition(":") for line in lines[1:] if line)}
            await reader.readexactly(int(headers.get("content-length", "0")))
            request = headers.get("x-correlation-id", "")
            self.record(self.name, f"got {lines[0]} id={request}")
            await asyncio.sleep(QueueingOrigin.wait + WORK)
            self.record(self.name, f"has run id={request}")
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(request), request.encode()))
            await writer.drain()


def resident_mb(pid):
    """The anonymous memory that a process has resident, in MiB, without the pages of its program; 0 once it has ended."""
    try:
        lines = pathlib.Path(f"/proc/{pid}/status").read_text().splitlines()
    except OSError:
        return 0.0
    return sum(int(line.split()[1]) for line in lines if line.startswith("RssAnon:")) / 1024


async def case(record, to_end):
    caches = [await LargeCache(f"cache-{n}", record, work=0.005).start() for n in range(4)]
    origin = await QueueingOrigin("origin", record).start()
    discovery = await s.Discovery("discovery", record).start()
    discovery.list(*[s.entry(cache.name, cache.addr) for cache in caches],
                   s.entry("origin", origin.addr, kind="origin"))
    platform = s.Platform(record, discovery, s.settings(), discovery.known(), memory_mb=MEMORY_MB, sockets=SOCKETS)
    to_end.append(platform)
    await platform.start()
    peak, killed = 0.0, False

    async def watch_memory():
        """The platform: "over `memory_mb` the node is killed"."""
        nonlocal peak, killed
        while not platform.has_ended():
            memory = resident_mb(platform.process.pid)
            peak = max(peak, memory)
            if memory > MEMORY_MB and not killed:
                killed = True
                record("platform", f"the node uses {memory:.1f} MiB of {MEMORY_MB}: SIGKILL")
                platform.process.send_signal(signal.SIGKILL)
            await asyncio.sleep(0.01)

    watch = asyncio.create_task(watch_memory())
    calm = await s.Client("calm", record, platform.port).connect()
    for n in range(100):  # some reads in calm
        await calm.send(s.command("CACHE.GET", f"calm-{n}", f"calm-{n}", "c=lookup,d=500"))
        await asyncio.wait_for(calm.answer(), 5)
    record("platform", f"after some reads in calm the node uses {resident_mb(platform.process.pid):.1f} MiB")
    if s.TROUBLE:
        QueueingOrigin.wait = QUEUE
        record("origin", f"its queue is full from now on: a request waits there for {QUEUE} s")
    ends = {"served": 0, "refused or failed": 0, "without an answer": 0}

    async def pipelining_client(n):
        await asyncio.sleep(APART * n)
        name = f"client-{n}"
        try:
            client = await s.Client(name, record, platform.port).connect()
            commands = [s.command("CACHE.SET", f"signup-{n}", f"signup-{n}", f"c=reminder-signup,d=2200,k=k-{n}", b"v")]
            commands += [s.command("CACHE.GET", f"key-{n}-{m}", f"read-{n}-{m}", "c=lookup,d=550")
                         for m in range(1, COMMANDS)]
            await client.send(*commands)
        except OSError:
            record(name, "could not connect")
            return
        record(name, f"has sent a signup and {COMMANDS - 1} reads at once")
        got = 0
        try:
            for _ in range(COMMANDS):
                await asyncio.wait_for(client.answer(), 10)
                ends["served" if client.served else "refused or failed"] += 1
                got += 1
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError) as error:
            record(name, f"{COMMANDS - got} commands without an answer: {error!r}")
            ends["without an answer"] += COMMANDS - got
        client.close()

    await asyncio.gather(*[pipelining_client(n) for n in range(CLIENTS)])
    record("case", f"{ends}; the node used {peak:.1f} MiB at the most; killed for its memory: {killed}")
    watch.cancel()
    return not killed and not platform.has_ended()


s.run(HERE, case)
