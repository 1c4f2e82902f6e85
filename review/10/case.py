"""A new configuration moves discovery to an address where it is slow: see claim.txt."""

import asyncio
import json
import os
import re
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lab2"))
from lab import BROKEN, HELD, TROUBLE, CannotRun, Client, Discovery, Lab, Node, granite, http, run_case

# The site file of Granite lets a call wait its turn for 1 s (timeout_ms = 1000). It waits for less, and is then worked on.
TURN_S, WORK_S = 0.8, 0.4
TOLD_AT_THE_LATEST_S = 6.0
GRACE_S, SOCKETS_S = 0.25, 0.05
# How late this machine may let the stand-ins note what they got.
MACHINE_S = 0.2


class SlowDiscovery(Discovery):
    async def serve(self, reader, writer):
        try:
            while True:
                path = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split(" ")[1]
                self.lab.record("discovery", f"takes the call {path}")
                if TROUBLE:
                    await asyncio.sleep(TURN_S + WORK_S)
                match = re.search(r"after=(\d+)&wait_ms=(\d+)", path)
                answer = await self.watch(int(match[1]), int(match[2]) / 1000) if match else self.full()
                self.lab.record("discovery", f"answers {path}: version {answer['version']}, {len(answer['servers'])} entries")
                writer.write(http(200, json.dumps(answer).encode()))
                await writer.drain()
        except (EOFError, ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.lab.record("discovery", "the caller has gone")
            writer.close()


async def case(lab: Lab):
    await lab.start_servers(9, "fast-box", "concord")
    bays = {f"bay-{n}": f"state of bay {n}".encode() for n in range(100)}
    for cache in lab.caches:
        cache.values.update(bays)
    node = await Node(lab, granite(siblings=3)).start()
    moved = SlowDiscovery(lab)
    moved.version = lab.discovery.version
    await moved.start()
    ends = asyncio.Event()

    async def kiosk(number):
        client, n = await Client(lab, f"kiosk {number}").connect(node), 0
        while not ends.is_set():
            n += 1
            key, id_ = f"bay-{(37 * n + number) % 100}", f"{number:08x}{n:08x}"
            client.send(["CACHE.GET", key, id_, "c=bay-status,t=valley-taxi,d=1000"])
            if await client.answer(id_) is None:
                raise CannotRun("a kiosk's connection has ended")
            await asyncio.sleep(0.05)

    kiosks = [asyncio.create_task(kiosk(number)) for number in range(3)]
    await asyncio.sleep(3)
    with open(node.config, encoding="utf-8") as file:
        configuration = json.load(file)
    configuration["discovery"] = moved.addr
    with open(node.config + ".new", "w", encoding="utf-8") as file:
        json.dump(configuration, file)
    os.rename(node.config + ".new", node.config)
    lab.record("platform", f"writes a new configuration: discovery is at {moved.addr}")
    node.signal(signal.SIGHUP)
    await asyncio.sleep(4)
    box = lab.caches[0]
    await moved.set_state(box, "DRAINING")
    had_at = lab.record.now()
    lab.record("discovery", f"has it that {box.name} drains; it counts as told {TOLD_AT_THE_LATEST_S:.0f} s from now")
    await asyncio.sleep(20)
    ends.set()
    await asyncio.gather(*kiosks)
    allowed_until = had_at + TOLD_AT_THE_LATEST_S + GRACE_S + SOCKETS_S + MACHINE_S
    late = [at - had_at for at, _, _ in box.calls if at > allowed_until]
    if late:
        return BROKEN, f"{len(late)} requests were sent to {box.name} from {late[0]:.2f} to {late[-1]:.2f} s after its drain"
    last = max((at - had_at for at, _, _ in box.calls), default=float("-inf"))
    return HELD, f"the last request came to {box.name} {last:.2f} s after discovery had its drain"


run_case(__file__, case)
