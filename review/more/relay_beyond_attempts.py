"""BUDGET: a host without a path to the runners has a request run on more runners than `attempts` allows."""

import asyncio
import os
import sys
import time
from collections import defaultdict
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))
from standins import (TROUBLE, Caller, Front, Link, Runner, Store, StoreView, configuration, finish,
                      route, run_case, service)


async def case(record, folder, fronts):
    store = await Store().listen()
    runners = [await Runner(record, f"i-{number}", "desk", "z1", 1.0).listen() for number in range(1, 7)]
    for runner in runners:
        runner.slots = 64
    routes = [route("lookup", "safe", "desk", attempts=1, timeout_ms=3000)]
    await store.put("config", "main", configuration(3, routes, [service("desk")]))
    for runner in runners:
        await store.put("servers", runner.identifier, runner.entry())
    links, own = [], {}
    for runner in runners:
        links.append(await Link((runner.host, runner.port)).open())
        own[runner.address] = links[-1].address
    view = await StoreView(store, own).listen()
    fronts.append(Front(folder, "front-z1-1", "z1", view.address))
    for number in range(2, 8):
        fronts.append(Front(folder, f"front-z1-{number}", "z1", store.address))
    for front in fronts:
        front.start()
    for front in fronts:
        await front.wait_ready()
    record.say("seven entry hosts are ready")
    caller = Caller(record)

    async def traffic():
        while True:
            asyncio.create_task(caller.send(fronts[0].front, "/lookup/1"))
            await asyncio.sleep(1 / 60)

    tasks = [asyncio.create_task(traffic())]
    await asyncio.sleep(3)
    if TROUBLE:
        for link in links:
            link.cut()
        record.say("front-z1-1 is cut off from all runners")
    await asyncio.sleep(4)
    if TROUBLE:
        fronts[3].kill()
        record.say("front-z1-4 is killed")
    await asyncio.sleep(4)
    await finish(tasks)
    ran = defaultdict(set)
    for runner in runners:
        for _, request in runner.arrivals:
            ran[request].add(runner.identifier)
    more = [request for request, identifiers in ran.items() if len(identifiers) > 1]
    record.say(f"{len(ran)} requests ran, {len(more)} of them on more runners than `attempts` = 1; 3 are allowed")
    return len(more) > 3


run_case(os.environ.get("RECORDS", FOLDER), case)
