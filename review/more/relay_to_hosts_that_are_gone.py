"""RECOVER: hosts that are cut off from all runners pass requests on to machines that are gone for good."""

import asyncio
import os
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))
from standins import (TROUBLE, Caller, Front, Link, Runner, Silence, Store, StoreView, configuration,
                      finish, route, run_case, service)

CONTACT_S = 3.0
CUT_S = 12.0
GONE = int(os.environ.get("GONE", "9" if TROUBLE else "0"))


async def case(record, folder, fronts):
    store = await Store().listen()
    runners = [await Runner(record, f"i-{number}", "desk", f"z{number % 2 + 1}", 0.05).listen() for number in range(1, 5)]
    routes = [route("lookup", "safe", "desk"), route("hold", "unsafe", "desk")]
    await store.put("config", "main", configuration(3, routes, [service("desk")]))
    for runner in runners:
        await store.put("servers", runner.identifier, runner.entry())
    links = []
    # Two machines of zone z1 that stay, nine that will be removed, and three machines of zone z2.
    for number in range(1, 3 + GONE):
        own = {}
        for runner in runners:
            link = await Link((runner.host, runner.port)).open()
            own[runner.address] = link.address
            if number <= 2:
                links.append(link)
        view = await StoreView(store, own).listen()
        fronts.append(Front(folder, f"front-z1-{number}", "z1", view.address))
    for number in (1, 2, 3):
        fronts.append(Front(folder, f"front-z2-{number}", "z2", store.address))
    for front in fronts:
        front.start()
    for front in fronts:
        await front.wait_ready()
    record.say(f"{len(fronts)} entry hosts are ready")
    await asyncio.sleep(4)
    stranded, others, gone = fronts[:2], fronts[-3:], fronts[2:-3]
    silences = []
    for front in gone:
        front.kill()
        front.process.wait()
        silences.append(Silence(front.peer))
        record.say(f"{front.name} is removed for good; its address does not respond")
    await asyncio.sleep(4)
    results = []
    caller = Caller(record)

    async def one(front, path, method):
        sent_at = time.monotonic()
        _, status, _, _ = await caller.send(front.front, path, method)
        results.append((front, sent_at, status == 200))

    async def traffic():
        count = 0
        while True:
            count += 1
            for front in stranded + others:
                path, method = ("/lookup/1", "GET") if count % 2 else ("/hold/1", "POST")
                asyncio.create_task(one(front, path, method))
            await asyncio.sleep(0.1)

    tasks = [asyncio.create_task(traffic())]
    await asyncio.sleep(4)
    if TROUBLE:
        for link in links:
            link.cut()
        record.say("the two entry hosts of zone z1 are cut off from all runners")
    cut_at = time.monotonic()
    await asyncio.sleep(CUT_S)
    ends = time.monotonic() - 2
    await asyncio.sleep(1)
    await finish(tasks)

    def share(machines):
        mine = [served for front, sent_at, served in results
                if front in machines and cut_at + CONTACT_S < sent_at < ends]
        return sum(mine), len(mine)

    (there, tries_there), (elsewhere, tries_elsewhere) = share(stranded), share(others)
    failed, bound = tries_there - there, 10 + (tries_there + tries_elsewhere) / 50
    record.say(f"from contact_ms after the cut: {there} of {tries_there} first tries served at the machines of z1, "
               f"{elsewhere} of {tries_elsewhere} at the others; {failed} failed there, {bound:.0f} are allowed")
    is_less = there / tries_there < 2 / 3 * elsewhere / tries_elsewhere
    return is_less and failed > bound


run_case(os.environ.get("RECORDS", FOLDER), case)
