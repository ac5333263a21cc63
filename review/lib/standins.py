"""Stand-ins for the platform of the users' pages: its store, plain runners and callers.

Only the standard library is used. Everything listens on loopback addresses and free ports. The stand-ins
do what PROTOCOL.md says; what a case adds to them is written in the case's own driver.
"""

import asyncio
import json
import logging
import os
import random
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
PROGRAM = "target/release/galenamast"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    """The case could not be run; this says nothing about the rule."""


class Record:
    """What was sent, answered and run, as lines with the seconds since the start."""

    def __init__(self, path):
        self.start = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.start

    def line(self, text):
        self.file.write(f"{self.now():9.3f} {text}\n")

    def say(self, text):
        self.line(text)
        print(text, flush=True)

    def close(self):
        self.file.close()


async def read_head(reader):
    """Reads the first line and the headers of a message; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    """Reads a body that has a length or comes in chunks."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0].strip() or b"0", 16)
            data = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += data[:-2]
    length = int(headers.get("content-length", "0"))
    return await reader.readexactly(length) if length else b""


REASONS = {200: "OK", 201: "Created", 404: "Not Found", 409: "Conflict", 410: "Gone",
           421: "Misdirected Request", 500: "Internal Server Error", 503: "Service Unavailable"}


def message(status, headers, body):
    """Returns the bytes of a response with a length."""
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Other')}"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def reset(writer):
    """Resets a connection."""
    try:
        connection = writer.get_extra_info("socket")
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    except (OSError, AttributeError):
        pass
    writer.transport.abort()


class Server:
    """A listening HTTP/1.1 server with one handler for each request."""

    def __init__(self, host="127.0.0.1"):
        self.host = host
        self.port = 0
        self.listener = None
        self.writers = set()
        # Seconds of rest after which a kept connection is forgotten; None for never.
        self.forgets_after = None

    def note_forgotten(self, head):
        """Called when a request arrives on a connection that was forgotten."""

    async def listen(self, port=0):
        self.listener = await asyncio.start_server(self.serve, self.host, port, backlog=512)
        self.port = self.listener.sockets[0].getsockname()[1]
        return self

    @property
    def address(self):
        return f"{self.host}:{self.port}"

    async def serve(self, reader, writer):
        self.writers.add(writer)
        # Lets a handler see that the other side has closed the connection.
        writer.reader = reader
        used_at = None
        try:
            while True:
                head = await read_head(reader)
                rested = time.monotonic() - used_at if used_at else 0.0
                if head is not None and self.forgets_after is not None and rested > self.forgets_after:
                    # The server has forgotten the connection without notice.
                    self.note_forgotten(head)
                    reset(writer)
                    return
                if head is None:
                    return
                line, headers = head
                method, target, _ = line.split(" ", 2)
                body = await read_body(reader, headers)
                if not await self.handle(method, target, headers, body, writer):
                    return
                used_at = time.monotonic()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def crash(self):
        """Stops listening and resets all connections."""
        if self.listener:
            self.listener.close()
        for writer in list(self.writers):
            reset(writer)

    async def close(self):
        """Stops listening and closes all connections, as a process does that ends."""
        if self.listener:
            self.listener.close()
        for writer in list(self.writers):
            writer.close()


class Store(Server):
    """The platform's store: objects with revisions, conditional writes, lists and watches."""

    def __init__(self, host="127.0.0.1"):
        super().__init__(host)
        self.revision = 100
        self.objects = {}
        self.history = []
        self.changed = asyncio.Condition()
        # Seconds for which changes are kept, and the revision up to which they are gone.
        self.history_s = 20.0
        self.forgotten = 0
        self.texts = {}
        # Seconds by which a call with stale_ok lags behind, as the pages allow; 0 for none.
        self.stale_s = 0.0
        # Turns the text of a response into its bytes.
        self.encode = lambda text: text.encode("utf-8")

    async def put(self, kind, name, specification, status="keep"):
        """Writes an object; returns the time of the acknowledgement."""
        self.revision += 1
        known = self.objects.get((kind, name))
        metadata = dict(known["metadata"]) if known else {
            "name": name, "create_revision": self.revision, "finalizers": [], "deleting": False}
        metadata["revision"] = self.revision
        kept = known["status"] if known else None
        item = {"metadata": metadata, "specification": specification,
                "status": kept if status == "keep" else status}
        self.objects[(kind, name)] = item
        await self.note(kind, False, item)
        return time.monotonic()

    async def delete(self, kind, name):
        """Removes an object; returns the time of the acknowledgement."""
        item = self.objects.pop((kind, name), None)
        if item is not None:
            self.revision += 1
            metadata = dict(item["metadata"], revision=self.revision)
            await self.note(kind, True, dict(item, metadata=metadata))
        return time.monotonic()

    async def note(self, kind, removed, item):
        self.history.append((self.revision, time.monotonic(), kind, removed, item))
        async with self.changed:
            self.changed.notify_all()

    def text(self, item):
        """Returns an object's text, which is made once for each revision."""
        key = (item["metadata"]["name"], item["metadata"]["revision"])
        if key not in self.texts:
            self.texts[key] = json.dumps(item)
        return self.texts[key]

    def answer(self, status, value):
        return self.answer_text(status, json.dumps(value))

    def answer_text(self, status, text):
        body = self.encode(text)
        headers = [("Content-Type", "application/json"), ("Store-Era", "1")]
        return message(status, headers, body)

    async def handle(self, method, target, headers, body, writer):
        answer = await self.respond(method, target, body)
        await asyncio.sleep(0.004)
        writer.write(answer)
        await writer.drain()
        return True

    async def respond(self, method, target, body):
        """Makes a call; returns the bytes of the response."""
        path, _, query = target.partition("?")
        query = dict(part.partition("=")[::2] for part in query.split("&") if part)
        parts = path.split("/")[3:]
        kind, name = parts[0], parts[1] if len(parts) > 1 else None
        if method == "GET" and name is None and "watch" in query:
            answer = await self.watch(kind, query)
        elif method == "GET" and name is None:
            answer = self.list(kind, query)
        elif method == "GET":
            item = self.objects.get((kind, name))
            answer = self.answer(200, item) if item else self.answer(404, {})
        elif method == "POST":
            answer = await self.create(kind, json.loads(body))
        elif method == "PUT":
            answer = await self.replace(kind, name, json.loads(body), parts[2:] == ["status"], query)
        elif method == "DELETE":
            await self.delete(kind, name)
            answer = self.answer(200, {})
        else:
            answer = self.answer(404, {})
        return answer

    def visible_until(self, query):
        """Returns the time up to which changes are visible to a call."""
        lag = self.stale_s if query.get("stale_ok") == "1" else 0.0
        return time.monotonic() - lag

    def list(self, kind, query):
        until = self.visible_until(query)
        items = {n: o for (k, n), o in self.objects.items() if k == kind}
        revision = self.revision
        if self.stale_s and query.get("stale_ok") == "1":
            late = [h for h in self.history if h[1] > until]
            if late:
                revision = late[0][0] - 1
                items = {}
                for changed, at, of, removed, item in self.history:
                    if of == kind and changed <= revision:
                        if removed:
                            items.pop(item["metadata"]["name"], None)
                        else:
                            items[item["metadata"]["name"]] = item
        texts = ",".join(self.text(items[n]) for n in sorted(items))
        return self.answer_text(
            200, f'{{"items":[{texts}],"has_more":false,"store_revision":{revision}}}')

    async def watch(self, kind, query):
        since = int(query["watch"])
        ends = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
        while True:
            while self.history and self.history[0][1] < time.monotonic() - self.history_s:
                self.forgotten = self.history.pop(0)[0]
            if since < self.forgotten:
                return self.answer(410, {})
            until = self.visible_until(query)
            seen = [h for h in self.history if h[0] > since and h[1] <= until]
            events = [f'{{"removed":{json.dumps(removed)},"object":{self.text(item)}}}'
                      for _, _, of, removed, item in seen if of == kind]
            left = ends - time.monotonic()
            if events or left <= 0:
                revision = max([since] + [h[0] for h in seen])
                return self.answer_text(
                    200, f'{{"events":[{",".join(events)}],"store_revision":{revision}}}')
            pause = min(left, 0.02 if self.stale_s else left)
            try:
                async with self.changed:
                    await asyncio.wait_for(self.changed.wait(), pause)
            except asyncio.TimeoutError:
                pass

    async def create(self, kind, item):
        name = item["metadata"]["name"]
        if (kind, name) in self.objects:
            return self.answer(409, self.objects[(kind, name)])
        await self.put(kind, name, item.get("specification"))
        return self.answer(200, self.objects[(kind, name)])

    async def replace(self, kind, name, item, is_status, query):
        known = self.objects.get((kind, name))
        if known is None:
            return self.answer(404, {})
        wanted = item.get("metadata", {}).get("revision", query.get("revision"))
        if wanted is not None and int(wanted) != known["metadata"]["revision"]:
            return self.answer(409, known)
        if is_status:
            await self.put(kind, name, known["specification"], item.get("status"))
        else:
            await self.put(kind, name, item.get("specification"))
        return self.answer(200, self.objects[(kind, name)])


class StoreView(Server):
    """The store as one machine reaches it: with the addresses at which that machine reaches the runners."""

    def __init__(self, store, addresses, host="127.0.0.1"):
        super().__init__(host)
        self.store = store
        self.addresses = addresses
        self.turns_away = False

    async def handle(self, method, target, headers, body, writer):
        if self.turns_away:
            # The store turns this machine away and serves the others.
            writer.write(message(503, [("Store-Era", "1")], b""))
            await writer.drain()
            return True
        answer = await self.store.respond(method, target, body)
        if self.turns_away:
            return False
        head, _, content = answer.partition(b"\r\n\r\n")
        for address, own in self.addresses.items():
            content = content.replace(f'"{address}"'.encode(), f'"{own}"'.encode())
        lines = [line for line in head.split(b"\r\n") if not line.startswith(b"Content-Length")]
        lines.append(b"Content-Length: %d" % len(content))
        await asyncio.sleep(0.004)
        writer.write(b"\r\n".join(lines) + b"\r\n\r\n" + content)
        await writer.drain()
        return True


class Link:
    """The path of one machine to one server: a TCP proxy that can be cut."""

    def __init__(self, target, host="127.0.0.1"):
        self.target = target
        self.host = host
        self.port = 0
        self.listener = None
        self.writers = set()

    @property
    def address(self):
        return f"{self.host}:{self.port}"

    async def open(self):
        self.listener = await asyncio.start_server(self.forward, self.host, self.port, backlog=512)
        self.port = self.listener.sockets[0].getsockname()[1]
        return self

    async def forward(self, reader, writer):
        try:
            far_reader, far_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.close()
            return
        self.writers |= {writer, far_writer}

        async def copy(source, sink):
            try:
                while data := await source.read(65536):
                    sink.write(data)
                    await sink.drain()
                sink.close()
            except (ConnectionError, asyncio.CancelledError):
                reset(sink)

        await asyncio.gather(copy(reader, far_writer), copy(far_reader, writer))
        self.writers -= {writer, far_writer}

    def cut(self):
        """Resets the connections and refuses new ones."""
        self.listener.close()
        for writer in list(self.writers):
            reset(writer)


class Silence:
    """An address that does not respond, as that of a machine without power: connections to it hang."""

    def __init__(self, address):
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.socket.bind(address)
        self.socket.listen(0)
        self.fillers = []
        # Once the queue of new connections is full, further ones get no answer.
        for _ in range(4):
            filler = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            filler.setblocking(False)
            filler.connect_ex(address)
            self.fillers.append(filler)


class Runner(Server):
    """A plain runner that answers each request after some work."""

    def __init__(self, record, identifier, service, zone, work_s=0.02, host="127.0.0.1"):
        super().__init__(host)
        self.record = record
        self.identifier = identifier
        self.service = service
        self.zone = zone
        self.work_s = work_s
        self.state = "ready"
        self.cold_ms = 0
        self.sequence = 1
        self.slots = 6
        self.born = int(time.time() * 1000)
        # Times of the requests that arrived and were not turned away with 421.
        self.arrivals = []

    def entry(self):
        self.sequence += 1
        return {"service": self.service, "address": self.address, "zone": self.zone, "version": "v1",
                "slots": self.slots, "state": self.state, "cold_remaining_ms": self.cold_ms,
                "sequence": self.sequence, "born": self.born}

    def answer_headers(self, request):
        return [("X-Attempt-Id", request), ("X-Response-Signature", f"sig.{self.identifier}"),
                ("Keep-Alive", "timeout=15")]

    async def handle(self, method, target, headers, body, writer):
        request = headers.get("x-attempt-id", "")
        if headers.get("x-expected-instance", self.identifier) != self.identifier:
            writer.write(message(421, [("X-Instance-Identifier", self.identifier)], b""))
            await writer.drain()
            return True
        self.arrivals.append((time.monotonic(), request))
        self.record.line(f"{self.identifier} gets {request}")
        return await self.run(request, target, writer)

    async def run(self, request, target, writer):
        await asyncio.sleep(self.work_s)
        self.record.line(f"{self.identifier} has run {request}")
        body = f"{self.identifier} {request}".encode()
        writer.write(message(200, self.answer_headers(request), body))
        await writer.drain()
        return True


def route(name, kind, service, timeout_ms=1500, attempts=2, **more):
    return dict({"name": name, "host": "desk.example", "path_prefix": f"/{name}/", "kind": kind,
                 "timeout_ms": timeout_ms, "goal_ms": 300, "priority": 2, "service": service,
                 "attempts": attempts if kind != "unsafe" else 1, "public": False,
                 "sticky": False, "resumable": False}, **more)


def configuration(version, routes, services):
    return {"version": version, "routes": routes, "services": services,
            "limits": {"header_bytes": 16384, "body_bytes": 4194304, "header_timeout_ms": 3000,
                       "idle_timeout_ms": 15000},
            "tenants": [{"name": "hule930", "keys": ["key-1"], "priority": 1}]}


def service(name, **more):
    return dict({"name": name, "health_path": "/health", "connection_limit": 110, "protocol": "h1",
                 "transport_security": False}, **more)


BOUNDS = {"seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "acknowledge_ms": 4000,
          "catch_up_s": 4, "drain_ms": 2000, "grace_s": 8, "loss_slack_ms": 200,
          "configuration_ms": 2000, "rollback_slack_ms": 250, "outer_ms": 5000,
          "strict_revocation": False, "revoke_ms": 5000, "budget_ratio": 0.9, "budget_window_s": 10,
          "budget_slack": 58, "expose_share": 0.15, "expose_slack": 30, "rollback_ms": 5000,
          "recover_s": 12, "pass_ms": 120, "reuse_window_s": 10, "session_s": 5}


PORTS = set()


def free_port(host):
    """Returns a port that is free on an address for TCP and UDP, below those of outgoing connections."""
    for _ in range(200):
        port = random.randrange(15000, 32000)
        if port in PORTS:
            continue
        try:
            with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as first, \
                    socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as second:
                first.bind((host, port))
                second.bind((host, port))
                PORTS.add(port)
                return port
        except OSError:
            continue
    raise CannotRun("no free port")


class Front:
    """An entry host: the project's program, started with the command of the deploy file."""

    def __init__(self, folder, name, zone, store_address, host="127.0.0.1", bounds=None):
        self.name, self.zone, self.host = name, zone, host
        ports = {}
        while len(set(ports.values())) < 3:
            ports = {key: free_port(host) for key in ("front", "ready", "peer")}
        self.front = (host, ports["front"])
        self.ready = (host, ports["ready"])
        self.peer = (host, ports["peer"])
        settings = {
            "node_name": name, "role": "entry-host", "machine_class": "front", "serves": ["front"],
            "ip_address": host, "zone": zone, "region": "r", "zones": {zone: "r"},
            "listen_addresses": {"front": f"{host}:{ports['front']}", "ready": f"{host}:{ports['ready']}"},
            "internal_ports": [ports["peer"], ports["peer"]], "seeds": [], "bootstrap": True,
            "in_tolerance": False,
            "limits": {"processor_share": 0.25, "cores": 1, "memory_mb": 260,
                       "file_descriptors": 4100, "link_mbps": 1000.0, "disk_mb": 0},
            "data_directory": None, "discovery": "platform", "entry": "virtual_ip",
            "heartbeat_ms": 1200, "bounds": dict(BOUNDS, **(bounds or {})),
            "platform": {"address": store_address, "form": "objects", "writes_per_s": 400,
                         "reads_per_s": 2000, "history_s": 20, "value_bytes": 1048576}}
        self.path = Path(folder) / f"{name}.json"
        self.path.write_text(json.dumps(settings))
        self.log = open(Path(folder) / f"{name}.log", "wb")
        self.process = None

    def start(self):
        if not (ROOT / PROGRAM).exists():
            raise CannotRun(f"{PROGRAM} is not built")
        environment = {"GALENAMAST_SETTINGS": str(self.path), "PATH": os.environ.get("PATH", "")}
        self.process = subprocess.Popen([PROGRAM, "front"], cwd=ROOT, env=environment,
                                        stdout=self.log, stderr=self.log)

    async def is_ready(self):
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(*self.ready), 1)
            writer.write(b"GET /api/readiness HTTP/1.1\r\nHost: balancer\r\nConnection: close\r\n\r\n")
            head = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
            return head is not None and " 200 " in head[0] + " "
        except (OSError, asyncio.TimeoutError):
            return False

    async def wait_ready(self, timeout=15):
        ends = time.monotonic() + timeout
        while not await self.is_ready():
            if time.monotonic() > ends or self.process.poll() is not None:
                ended = self.process.poll()
                self.log.flush()
                last = Path(self.log.name).read_bytes()[-300:].decode(errors="replace")
                raise CannotRun(f"{self.name} does not become ready (exit {ended}): {last}")
            await asyncio.sleep(0.1)

    def kill(self, number=signal.SIGKILL):
        if self.process and self.process.poll() is None:
            self.process.send_signal(number)

    def end(self):
        self.kill()
        if self.process:
            self.process.wait()
        self.log.close()


class Caller:
    """Sends requests to fronts, each on a connection of its own, and records the answers."""

    def __init__(self, record, prefix="q"):
        self.record = record
        self.prefix = prefix
        self.count = 0

    async def send(self, address, path, method="GET", body=b"", headers=(), limit_s=3.0, name=None):
        """Sends one request; returns (identifier, status or None, headers, body)."""
        self.count += 1
        request = name or f"{self.prefix}{self.count:05d}"
        lines = [f"{method} {path} HTTP/1.1", "Host: desk.example", f"X-Attempt-Id: {request}",
                 f"X-Deadline-Milliseconds: {int(limit_s * 1000)}", "Authorization: Bearer key-1",
                 f"Content-Length: {len(body)}"]
        lines += [f"{key}: {value}" for key, value in headers]
        self.record.line(f"sent {request} {method} {path} to {address[0]}:{address[1]}")
        status, answer_headers, answer = None, {}, b""
        writer = None
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(*address), 1)
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)

            async def receive():
                head = await read_head(reader)
                if head is None:
                    return None, {}, b""
                return int(head[0].split(" ")[1]), head[1], await read_body(reader, head[1])

            status, answer_headers, answer = await asyncio.wait_for(receive(), limit_s)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            if writer:
                writer.close()
        self.record.line(f"answered {request} {status} {answer[:60]!r}")
        return request, status, answer_headers, answer


async def finish(tasks):
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


def run_case(folder, case, seconds=110):
    """Runs a case; exits with 1 if it returns True (the rule was broken), 0 if False, 2 if it could not run."""
    # Connections that are open when the case ends are of no interest.
    sys.unraisablehook = lambda *_: None
    logging.disable(logging.CRITICAL)
    record = Record(Path(folder) / "record.txt")
    fronts = []
    code = 2
    with tempfile.TemporaryDirectory() as temporary:
        try:
            record.say(f"TROUBLE={int(TROUBLE)}")
            broken = asyncio.run(asyncio.wait_for(case(record, temporary, fronts), seconds))
            code = 1 if broken else 0
        except CannotRun as error:
            record.say(f"the case could not run: {error}")
        except asyncio.TimeoutError:
            record.say("the case took too long")
        finally:
            for front in fronts:
                front.end()
    record.say({0: "the rule held", 1: "THE RULE WAS BROKEN", 2: "the case could not run"}[code])
    record.close()
    sys.stdout.flush()
    os._exit(code)
