"""ORDER: an event whose `id` a runner spoilt is passed on, and comes again from the runner that goes on."""

import asyncio
import random
import sys
from collections import Counter
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))
from standins import (TROUBLE, Front, Runner, Store, configuration, finish, message, read_head, route,
                      run_case, service)

EVENTS = 20
SECONDS = 40.0
# The doses of `garble` in the site files: a share of 0.6 of the runners, 0.03 of their answers, for 5 s. It comes
# four times.
PERIOD_S, GARBLE_S = 10.0, 5.0
SPOILERS, SPOILT = 3, 0.03
LIMIT_S = 15.0


def event(request, number):
    return f"id: {number}\ndata: piece {number} of {request}\n\n".encode()


class Engine(Runner):
    """A model runner that streams events, and goes on after `Last-Event-Id`."""

    spoils = False
    spoilt = []

    async def handle(self, method, target, headers, body, writer):
        request = headers.get("x-attempt-id", "")
        if headers.get("x-expected-instance", self.identifier) != self.identifier:
            writer.write(message(421, [("X-Instance-Identifier", self.identifier)], b""))
            await writer.drain()
            return True
        start = int(headers.get("last-event-id", "0"))
        self.record.line(f"{self.identifier} gets {request}, from event {start + 1}")
        is_garbling = self.spoils and self.record.now() % PERIOD_S < GARBLE_S
        spoilt = random.randint(start + 1, EVENTS) if is_garbling and random.random() < SPOILT else None
        lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream", "Transfer-Encoding: chunked"]
        lines += [f"{name}: {value}" for name, value in self.answer_headers(request)]
        await asyncio.sleep(0.05)
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        for number in range(start + 1, EVENTS + 1):
            data = event(request, number)
            if number == spoilt:
                # One wrong byte, the first of the event.
                data = b"\xff" + data[1:]
                Engine.spoilt.append((request, number))
                self.record.line(f"{self.identifier} spoils a byte of event {number} of {request}")
            writer.write(b"%x\r\n%s\r\n" % (len(data), data))
            await writer.drain()
            await asyncio.sleep(0.03)
            if writer.is_closing() or writer.reader.at_eof():
                self.record.line(f"{self.identifier} drops {request} after event {number}")
                return False
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        self.record.line(f"{self.identifier} has run {request}")
        return True


def pieces(body):
    """Returns the data of the events of a body, as a reader of event streams dispatches them."""
    found, data = [], []
    for line in body.split(b"\n"):
        if not line:
            if data:
                found.append(b"\n".join(data))
            data = []
        elif line.startswith(b"data:"):
            data.append(line[5:].strip())
    return found


async def stream(record, front, request):
    """Sends one stream request; returns (status, body, whether it ended as complete)."""
    reader, writer = await asyncio.wait_for(asyncio.open_connection(*front.front), 1)
    lines = ["POST /advice/1 HTTP/1.1", "Host: desk.example", f"X-Attempt-Id: {request}", "X-Model: m0",
             "X-Token-Counts: 500,80", f"X-Prompt-Prefix: a1:300,{request[1:]}:200",
             f"X-Deadline-Milliseconds: {int(LIMIT_S * 1000)}", "Authorization: Bearer key-1", "Content-Length: 4"]
    record.line(f"sent {request} to {front.name}")
    writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + b"body")
    status, body, complete = None, b"", False

    async def receive():
        nonlocal status, body, complete
        head = await read_head(reader)
        if head is None:
            return
        status = int(head[0].split(" ")[1])
        if head[1].get("transfer-encoding") != "chunked":
            body = await reader.readexactly(int(head[1].get("content-length", "0")))
            complete = True
            return
        while True:
            size = int((await reader.readline()).strip() or b"-1", 16)
            if size < 0:
                return
            data = await reader.readexactly(size + 2)
            if size == 0:
                complete = True
                return
            body += data[:-2]

    try:
        await asyncio.wait_for(receive(), LIMIT_S)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
        pass
    writer.close()
    record.line(f"answered {request} {status}, {len(pieces(body))} pieces, "
                + ("complete" if complete else "not complete"))
    return status, body, complete


async def case(record, folder, fronts):
    store = await Store().listen()
    runners = [await Engine(record, f"i-{number}", "engines", "z1").listen() for number in range(1, 6)]
    for runner in runners[:SPOILERS]:
        runner.spoils = TROUBLE
    for runner in runners:
        runner.slots = 64
    routes = [route("advice", "stream", "engines", 15000, 3, resumable=True, gap_goal_ms=800)]
    await store.put("config", "main", configuration(3, routes, [service("engines")]))
    for runner in runners:
        await store.put("servers", runner.identifier, runner.entry())
    for number in (1, 2):
        front = Front(folder, f"front-z1-{number}", "z1", store.address)
        fronts.append(front)
        front.start()
    for front in fronts:
        await front.wait_ready()
    record.say("two entry hosts are ready, five model runners are listed")
    results = {}

    async def one(front, request):
        try:
            results[request] = await stream(record, front, request)
        except (OSError, asyncio.TimeoutError):
            pass

    async def traffic():
        count = 0
        while True:
            count += 1
            asyncio.create_task(one(fronts[count % 2], f"s{count:05d}"))
            await asyncio.sleep(1 / 60)

    tasks = [asyncio.create_task(traffic())]
    await asyncio.sleep(SECONDS)
    await finish(tasks)
    await asyncio.sleep(3)
    broken = []
    for request, (status, body, complete) in sorted(results.items()):
        if status != 200:
            continue
        counts = Counter(pieces(body))
        twice = sorted(piece for piece, times in counts.items() if times > 1)
        if twice:
            broken.append((request, twice, complete))
    record.say(f"{len(results)} streams; the runners spoilt a byte of {len(Engine.spoilt)} answers; in {len(broken)} "
               f"streams a piece came twice")
    for request, twice, complete in broken[:4]:
        record.say(f"  {request}: {twice[0].decode(errors='replace')} came twice; the stream ended "
                   + ("as complete" if complete else "early"))
    return len(broken) > 0


run_case(FOLDER, case)
