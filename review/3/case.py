"""Commands sent at once on one connection, the first for a long value whose cache crashes in the middle of it."""

import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))
import standins as s  # noqa: E402

ROUNDS = 5
READS = 2  # short reads sent in the same write, behind the long one and a write
LONG = 600_000  # DAYS: "values reach 4 MiB"
PIECES, PIECE_S = 20, 0.1  # a slow peer that writes in small pieces: 2 s in all
CRASH_AT_PIECE = 15
DEADLINE_MS, SIGNUP_MS = 1000, 4000


class SlowCache(s.Cache):
    """Gives the long value in pieces; with trouble, its connection is reset in the middle."""

    async def answer(self, writer, key, request, facts):
        if not key.startswith("long"):
            return await super().answer(writer, key, request, facts)
        value = (f"{key}/{request}:".encode() * (LONG // 16))[:LONG]
        writer.write(b"*3\r\n$%d\r\n" % LONG)
        size = LONG // PIECES
        for piece in range(PIECES):
            if s.TROUBLE and piece == CRASH_AT_PIECE:
                self.record(self.name, f"resets the connection after {piece * size} of {LONG} bytes of {key}")
                writer.transport.abort()
                return
            writer.write(value[piece * size:(piece + 1) * size])
            await writer.drain()
            await asyncio.sleep(PIECE_S)
        writer.write(b"\r\n$3\r\nhit\r\n$-1\r\n")
        await writer.drain()
        self.record(self.name, f"gave all {LONG} bytes of {key}")


async def case(record, to_end):
    caches = [await SlowCache(f"cache-{n}", record).start() for n in range(4)]
    origin = await s.Origin("origin", record).start()
    discovery = await s.Discovery("discovery", record).start()
    discovery.list(*(s.entry(c.name, c.addr) for c in caches), s.entry("origin", origin.addr, kind="origin"))
    platform = s.Platform(record, discovery, s.settings(), discovery.known())
    to_end.append(platform)
    await platform.start()
    lost = 0
    for turn in range(ROUNDS):
        client = await s.Client(f"client-{turn}", record, platform.port).connect()
        keys = [f"long-{turn}", f"signup-{turn}"] + [f"short-{turn}-{n}" for n in range(READS)]
        commands = []
        for n, key in enumerate(keys):
            request = "%016x" % (100 * (turn + 1) + n)
            if key.startswith("signup"):
                facts = f"c=reminder-signup,d={SIGNUP_MS},k={request}"
                commands.append(s.command("CACHE.SET", key, request, facts, b"weekly"))
            else:
                commands.append(s.command("CACHE.GET", key, request, f"c=lookup,d={DEADLINE_MS}"))
            record(client.name, f"sends {key} id={request}")
        await client.send(*commands)
        record(client.name, f"{len(keys)} commands sent in one write; the client stays and reads")
        unanswered = list(keys)
        try:
            for key in keys:
                answer = await asyncio.wait_for(client.answer(), 10)
                record(client.name, f"answer to {key}: {len(answer)} bytes {answer[:40]!r}")
                unanswered.remove(key)
        except asyncio.TimeoutError:
            record(client.name, f"no answer for 10 s; unanswered: {unanswered}")
        except (OSError, asyncio.IncompleteReadError) as error:
            record(client.name, f"the node ended the connection: {error!r}; unanswered: {unanswered}")
        client.close()
        # The long value has failed through no fault of the node, and the client can tell; the requests behind it
        # have no such excuse.
        lost_here = [key for key in unanswered if not key.startswith("long")]
        for key in lost_here:
            record(client.name, f"LOST: {key} was read, and its connection closed with no answer")
        lost += len(lost_here)
        await asyncio.sleep(0.3)
    await platform.figures(["handled", "violations"])
    if platform.has_ended():
        record("platform", "the node has ended by itself")
        return False
    record("verdict", f"{lost} of {ROUNDS * (1 + READS)} requests behind a long value lost")
    return lost == 0


s.run(HERE, case)
