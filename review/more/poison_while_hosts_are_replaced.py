"""BUDGET: hosts that are replaced forget which request crashes runners, and send it again."""

import asyncio
import os
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))
from standins import (TROUBLE, Caller, Front, Runner, Store, configuration, finish, route, run_case, service)

CONTACT_S, GRACE_S, GAP_S = 3.0, 8.0, 6.0
HOSTS = 8
SECONDS = 62.0


class FragileRunner(Runner):
    """A runner that crashes when it begins to run the deadly request."""

    crashes = []

    async def run(self, request, target, writer):
        if target == "/hold/deadly":
            FragileRunner.crashes.append((time.monotonic(), request, self))
            self.record.line(f"{self.identifier} crashes with {request}")
            self.crash()
            return False
        return await super().run(request, target, writer)


async def case(record, folder, fronts):
    store = await Store().listen()
    numbers = iter(range(1, 1000))

    async def start_runner():
        runner = await FragileRunner(record, f"i-{next(numbers)}", "desk", "z1", 0.02).listen()
        await store.put("servers", runner.identifier, runner.entry())

    routes = [route("lookup", "safe", "desk"), route("hold", "unsafe", "desk")]
    await store.put("config", "main", configuration(3, routes, [service("desk")]))
    for _ in range(6):
        await start_runner()
    for number in range(1, HOSTS + 1):
        front = Front(folder, f"front-z1-{number}", "z1", store.address)
        fronts.append(front)
        front.start()
    for front in fronts:
        await front.wait_ready()
    record.say(f"{HOSTS} entry hosts are ready, six runners are listed")
    caller, deadly = Caller(record), Caller(record, "deadly")
    sender, started = {}, {front: 0.0 for front in fronts}

    async def traffic():
        while True:
            for front in fronts:
                asyncio.create_task(caller.send(front.front, "/lookup/1"))
            await asyncio.sleep(0.2)

    async def deadly_traffic():
        count = 0
        while True:
            # The same path, caller and body at any machine that takes new connections.
            count += 1
            front = fronts[count * 3 % HOSTS]
            if front.process.poll() is None and await front.is_ready():
                sender[f"deadly{deadly.count + 1:05d}"] = front
                asyncio.create_task(deadly.send(front.front, "/hold/deadly", "POST", b"deadly"))
            await asyncio.sleep(0.8)

    async def restart(runner):
        await asyncio.sleep(2.5)
        await start_runner()
        await asyncio.sleep(1.1)
        # The entry of a silent runner is removed after three ping intervals.
        await store.delete("servers", runner.identifier)

    async def keep_up():
        seen = 0
        while True:
            for _, _, runner in FragileRunner.crashes[seen:]:
                asyncio.create_task(restart(runner))
            seen = len(FragileRunner.crashes)
            await asyncio.sleep(0.05)

    async def replace(front):
        started[front] = float("inf")
        front.kill(signal.SIGTERM)
        record.say(f"{front.name} gets SIGTERM")
        ends = time.monotonic() + GRACE_S
        while front.process.poll() is None and time.monotonic() < ends:
            await asyncio.sleep(0.05)
        front.kill()
        front.process.wait()
        await asyncio.sleep(0.3)
        front.start()
        started[front] = time.monotonic()

    tasks = [asyncio.create_task(step()) for step in (traffic, keep_up)]
    await asyncio.sleep(3)
    tasks.append(asyncio.create_task(deadly_traffic()))
    await asyncio.sleep(8)
    before = len(FragileRunner.crashes)
    begins = time.monotonic()
    replacing = []
    if TROUBLE:
        for front in fronts:
            replacing.append(asyncio.create_task(replace(front)))
            await asyncio.sleep(GAP_S)
    await asyncio.sleep(max(0.0, begins + SECONDS - time.monotonic()))
    await finish(tasks + replacing)
    crashes = FragileRunner.crashes
    record.say(f"{deadly.count} deadly requests were sent; {before} reached runners before the hosts were replaced, "
               f"{len(crashes) - before} since")
    third = crashes[2][0] if len(crashes) > 2 else float("inf")
    late = []
    for at, request, _ in crashes:
        front = sender[request]
        if at > third + CONTACT_S and at > started[front] + CONTACT_S:
            late.append(request)
    record.say(f"{len(late)} reached runners later than {CONTACT_S:.0f} s after the third crash, sent by machines in "
               f"touch; 3 are allowed")
    return len(late) > 3


run_case(os.environ.get("RECORDS", FOLDER), case)
