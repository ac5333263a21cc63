"""A part of a prompt crashes runners; the machines refuse another part, which sound requests share."""

import asyncio
import itertools
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "stand_ins_2"))
from rig import Front, Record, Runner, Store, StoreView, configuration, exchange, now, route, run_script

# Seconds: the first request with the crashing part, the first sound one with the part that the
# tenant has just begun to use, and the end of the requests.
CRASHING, RENEWED, END = 10.0, 10.6, 32.0
# Seconds until a runner that crashed is back ("after some seconds").
BACK = 3.0
CONTACT = 3.0
# Parts: a shared beginning, the part that crashes runners, and the tenant's part before and after.
SHARED, BAD, BEFORE, AFTER = "5c1e07a2", "bad0bad0", "91bd3f06", "77aa12cd"


async def main(trouble, folder, fronts):
    record, store = Record(FOLDER), Store()
    view, numbers = StoreView(store), itertools.count(1)
    crashes = []

    def holds_bad_part(headers):
        parts = [part.split(":")[0] for part in headers.get("x-prompt-prefix", "").split(",")]
        return BAD in parts[:-1]

    async def start(service, zone, events):
        runner = Runner("i-%04d" % next(numbers), service, zone, record, events=events,
                        crashes=holds_bad_part, on_crash=on_crash)
        await runner.start()
        store.put("servers", runner.identifier, runner.entry())
        return runner

    def on_crash(runner):
        crashes.append(now())

        async def replace():
            # A new lifetime with a new identifier; the old entry goes after three ping intervals.
            await asyncio.sleep(BACK)
            runners.append(await start(runner.service, runner.zone, runner.events))
            await asyncio.sleep(3 * 1.2 - BACK)
            store.delete("servers", runner.identifier)

        tasks.append(asyncio.ensure_future(replace()))

    zones = ("rajkot", "jamnagar", "bhavnagar")
    tasks = []
    runners = [await start("galena-pool", zone, 8) for zone in zones]
    runners += [await start("ledger-app", zone, 0) for zone in zones]
    routes = [route("recon", "stream", "galena-pool", 15000, resumable=True, sticky=True, gap_goal_ms=1000),
              route("bal-read", "safe", "ledger-app", 3000)]
    engine = {"slots": 64, "cache_tokens": 416204, "models": [{"name": "m1", "cost": 0.01}]}
    services = [{"name": "galena-pool", "engine": engine}, {"name": "ledger-app"}]
    store.put("config", "main", configuration(10, routes, services, {"society-1": ["k1"]}))
    await view.start()
    for zone in zones:
        fronts.append(Front("front-%s-1" % zone, zone, view.address, folder))
        fronts[-1].start()
    if not all([await front.wait_ready() for front in fronts]):
        record.close("the machines are not ready")
        return None
    await asyncio.sleep(3.0)
    began, sent = now(), {}

    async def send(front, name, parts, is_sound):
        sent[name] = (now() - began, is_sound)
        prompt = ",".join("%s:300" % part for part in parts) + ",%s:60" % name.replace("-", "")
        record.add("sent", name, "to", front.name, "prompt", prompt)
        head = "POST /recon/%s HTTP/1.1\r\nHost: ficu95.example\r\nX-Attempt-Id: %s\r\n" % (name, name)
        head += "X-Deadline-Milliseconds: 15000\r\nAuthorization: Bearer k1\r\nX-Model: m1\r\n"
        head += "X-Token-Counts: 660,8\r\nX-Prompt-Prefix: %s\r\nContent-Length: 5\r\n\r\n" % prompt
        status, headers, body = await exchange(front.port, head.encode(), b"draft", 16.0)
        record.add("answered", name, status, "events", body.count(b"\n\n"), "" if status == 200 else body[:70])

    count = 0
    next_sound, next_bad = 0.0, CRASHING
    while now() - began < END:
        at = now() - began
        if at >= next_sound:
            # Sound requests all the time, but for the moment in which the tenant changes its part.
            if not CRASHING <= at < RENEWED:
                count += 1
                part = BEFORE if at < CRASHING else AFTER
                tasks.append(asyncio.ensure_future(
                    send(fronts[count % 3], "5a%06x" % count, (SHARED, part), True)))
            next_sound += 0.1
        if trouble and at >= next_bad:
            count += 1
            tasks.append(asyncio.ensure_future(
                send(fronts[count % 3], "bd%06x" % count, (SHARED, BAD, AFTER), False)))
            next_bad += 0.25
        await asyncio.sleep(0.01)
    await asyncio.gather(*tasks)
    ran = {request for runner in runners for _, request in runner.runs}
    if trouble and not crashes:
        record.close("no runner crashed")
        return None
    # The rule counts from 2 x `contact_ms` after the fifth crash, or the last if there are fewer.
    last = (crashes[:5] or [began + CRASHING])[-1] - began
    inside = [name for name, (at, is_sound) in sent.items() if is_sound and at > last + 2 * CONTACT]
    outside = [name for name, (at, is_sound) in sent.items() if is_sound and at < CRASHING]
    begun = [len([name for name in names if name in ran]) for names in (inside, outside)]
    if len(inside) < 20 or len(outside) < 20:
        record.close("too few sound requests:", len(inside), len(outside))
        return None
    shares = (begun[0] / len(inside), begun[1] / len(outside))
    record.close("crashes", len(crashes), "the last of the first five at %.3f;" % last,
                 "sound requests begun: before %d of %d, later %d of %d" % (
                     begun[1], len(outside), begun[0], len(inside)))
    return shares[0] < shares[1] / 2


run_script(main)
