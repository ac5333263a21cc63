"""A machine without a path to the runners passes requests on whose heads are near the limit."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "stand_ins_2"))
from rig import Front, Record, Runner, Store, StoreView, configuration, exchange, now, route, run_script

MACHINES = ("front-1", "front-2", "front-3")
# Seconds: the cut of the path, its end, and the end of the requests.
CUT, HEAL, END = 3.0, 9.0, 11.0
# Size of the heads; the configuration allows 16,384 bytes.
HEAD_BYTES = 16300


def long_head(request):
    """Returns a head of HEAD_BYTES, most of it the parts of a long prompt."""
    head = "POST /recon/%s HTTP/1.1\r\nHost: ficu95.example\r\nX-Attempt-Id: %s\r\n" % (request, request)
    head += "X-Deadline-Milliseconds: 15000\r\nAuthorization: Bearer k1\r\nX-Model: m1\r\n"
    head += "X-Token-Counts: 9000,4\r\nContent-Length: 5\r\nX-Prompt-Prefix: "
    parts, number = "", 0
    while len(head) + len(parts) + 40 < HEAD_BYTES:
        number += 1
        parts += "%08x:12," % (0x5C1E0000 + number)
    last = "%s:" % request.replace("-", "")[-8:].rjust(8, "0")
    rest = HEAD_BYTES - len(head) - len(parts) - len(last) - 4
    return head + parts + last + "9".rjust(rest, "0") + "\r\n\r\n"


async def main(trouble, folder, fronts):
    record, store = Record(FOLDER), Store()
    runners = [Runner("i-%d" % number, "galena-pool", "rajkot", record, MACHINES, events=4) for number in range(3)]
    views = {name: StoreView(store) for name in MACHINES}
    for runner in runners:
        await runner.start()
        store.put("servers", runner.identifier, runner.entry())
        for name in MACHINES:
            # The network path of each machine to the runner.
            own = '"127.0.0.1:%d"' % runner.ports[MACHINES[0]]
            views[name].rename[own] = '"127.0.0.1:%d"' % runner.ports[name]
    routes = [route("recon", "stream", "galena-pool", 15000, resumable=True, sticky=True, gap_goal_ms=1000)]
    engine = {"slots": 64, "cache_tokens": 416204, "models": [{"name": "m1", "cost": 0.01}]}
    services = [{"name": "galena-pool", "engine": engine}]
    store.put("config", "main", configuration(10, routes, services, {"society-1": ["k1"]}))
    for name in MACHINES:
        await views[name].start()
        fronts.append(Front(name, "rajkot", views[name].address, folder))
        fronts[-1].start()
    if not all([await front.wait_ready() for front in fronts]):
        record.close("the machines are not ready")
        return None
    began, answers = now(), {}

    async def send(front, request):
        head = long_head(request)
        record.add("sent", request, "to", front.name, "head of", len(head), "bytes")
        status, headers, body = await exchange(front.port, head.encode(), b"draft", 16.0)
        answers[request] = (status, "x-response-signature" in headers)
        record.add("answered", request, status, "signed" if answers[request][1] else "not signed", body[:60])

    async def events():
        await asyncio.sleep(CUT)
        if trouble:
            record.add("front-1 is partitioned from all runners")
            for runner in runners:
                runner.cut_path("front-1")
        await asyncio.sleep(HEAL - CUT)
        if trouble:
            for runner in runners:
                await runner.open_path("front-1")
            record.add("front-1 reaches the runners again")

    tasks, number = [asyncio.ensure_future(events())], 0
    while now() - began < END:
        number += 1
        for front in fronts:
            name = "%s%06x" % (front.name[-1] + "a", number)
            tasks.append(asyncio.ensure_future(send(front, name)))
        await asyncio.sleep(0.1)
    await asyncio.gather(*tasks)
    denied = [name for name, (status, signed) in answers.items()
              if 300 <= status < 500 and not signed and status not in (408, 421, 429)]
    served = [name for name, (status, signed) in answers.items() if status == 200 and signed]
    bound = 5 + len(answers) / 500
    record.close("requests", len(answers), "served", len(served), "ended with a 4xx of the system's own",
                 len(denied), "(bound %.1f)" % bound, sorted({answers[name][0] for name in denied}))
    if not served:
        return None
    return len(denied) > bound


run_script(main)
