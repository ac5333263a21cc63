"""LOST: an entry host that is stopped cuts unsafe requests that it took in the last seconds of `grace_s`."""

import asyncio
import signal
import sys
import time
import zlib
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))
from standins import (TROUBLE, Caller, Front, Runner, Store, configuration, finish, route, run_case,
                      service)

GRACE_S = 8.0
GAP_S = 1.0
LIMIT_S = 3.0
# A request runs this long, within its time limit and its route's timeout.
WORK_S = 2.6


class Balancer:
    """The platform's balancer: asks each node once a second, and forwards new connections."""

    def __init__(self, record, fronts):
        self.record = record
        self.fronts = fronts
        self.misses = {front.name: 0 for front in fronts}
        self.rotation = set(self.misses)

    async def watch(self):
        while True:
            for front in self.fronts:
                if await front.is_ready():
                    self.misses[front.name] = 0
                    if front.name not in self.rotation:
                        self.record.line(f"balancer: {front.name} is in rotation again")
                    self.rotation.add(front.name)
                else:
                    self.misses[front.name] += 1
                    if self.misses[front.name] == 2:
                        self.rotation.discard(front.name)
                        self.record.line(f"balancer: {front.name} is out of rotation")
            await asyncio.sleep(1)

    def pick(self, requester):
        """Returns the node of a requester: of those in rotation, or of all if these are under half."""
        usable = [front for front in self.fronts if front.name in self.rotation]
        if len(usable) * 2 < len(self.fronts):
            usable = self.fronts
        return usable[zlib.crc32(str(requester).encode()) % len(usable)]


async def case(record, folder, fronts):
    store = await Store().listen()
    runners = [await Runner(record, f"i-{number}", "desk", "z1", WORK_S).listen() for number in range(1, 7)]
    for runner in runners:
        runner.slots = 32
    routes = [route("hold", "unsafe", "desk", timeout_ms=3000)]
    await store.put("config", "main", configuration(3, routes, [service("desk")]))
    for runner in runners:
        await store.put("servers", runner.identifier, runner.entry())
    for number in (1, 2, 3):
        front = Front(folder, f"front-z1-{number}", "z1", store.address)
        fronts.append(front)
        front.start()
    for front in fronts:
        await front.wait_ready()
    record.say("three entry hosts of one zone are ready")
    balancer = Balancer(record, fronts)
    caller = Caller(record)
    results = {}

    async def one(requester):
        front = balancer.pick(requester)
        sent_at = time.monotonic()
        request, status, _, _ = await caller.send(front.front, "/hold/1", "POST", b"x" * 200, limit_s=LIMIT_S)
        results[request] = (front, sent_at, time.monotonic(), status)

    async def traffic():
        requester = 0
        while True:
            requester += 1
            asyncio.create_task(one(requester))
            await asyncio.sleep(0.05)

    tasks = [asyncio.create_task(balancer.watch()), asyncio.create_task(traffic())]
    await asyncio.sleep(4)
    stops = {}

    async def stop(front):
        stops[front] = time.monotonic()
        if not TROUBLE:
            await asyncio.sleep(GRACE_S)
            return
        front.kill(signal.SIGTERM)
        record.say(f"{front.name} gets SIGTERM")
        await asyncio.sleep(GRACE_S)
        if front.process.poll() is None:
            front.kill()
            record.say(f"{front.name} gets SIGKILL after grace_s")

    # In turn, as the platform stops machines for planned work; the next one after a second.
    first = asyncio.create_task(stop(fronts[0]))
    await asyncio.sleep(GAP_S)
    await stop(fronts[1])
    await first
    await asyncio.sleep(3)
    await finish(tasks)
    ran = {request for runner in runners for _, request in runner.arrivals}
    lost, early = [], 0
    for request, (front, sent_at, ended_at, status) in sorted(results.items()):
        stopped_at = stops.get(front, ended_at)
        has_time = ended_at - sent_at < LIMIT_S - 0.1
        if status is None and request in ran and ended_at > stopped_at and has_time:
            if sent_at - stopped_at > 3.0:
                lost.append((request, front, sent_at - stopped_at, ended_at - stopped_at))
            else:
                early += 1
    record.say(f"{len(results)} requests; cut though they were passed on to a runner and had time left: "
               f"{len(lost)} that were sent later than 3 s after the SIGTERM, {early} others")
    for request, front, sent, ended in lost[:6]:
        record.say(f"  {request}: sent to {front.name} {sent:.2f} s after the SIGTERM, cut at {ended:.2f} s")
    return len(lost) > 0


run_case(FOLDER, case)
