"""Stand-ins of the platform for the cases of this review: clients, engines and the command channel.

They follow the protocol page (JSON-RPC lines, binary engine frames, numbered events) and behave like sound
peers unless a case says otherwise. Everything runs in one event loop, on loopback addresses; the workload
manager is a separate process, started with the `run` command of deploy/balancer.toml.
"""
import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
import zlib

ROOT = os.path.abspath(os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", ".."))


class CannotRun(Exception):
    """The case could not be carried out; says nothing about the rule."""


class Record:
    """record.txt: what was sent, answered and run, with seconds since the start of the case."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.time()

    def write(self, text):
        self.file.write(f"{time.time() - self.start:9.4f} {text}\n")
        self.file.flush()


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


# ---- Engines ----

def frame(code, ident, fields=b"", body=b"", mark=129):
    return (struct.pack(">BBHIQ", mark, code, len(fields), len(body), ident) + fields + body +
            struct.pack(">I", zlib.crc32(fields + body)))


class Attempt:
    def __init__(self, engine, ident, fields, statement):
        self.engine, self.ident, self.fields, self.statement = engine, ident, fields, statement
        self.came = time.time()
        self.ended = None  # when its end was written or it was given up
        self.how = "open"


class Engine:
    """Runs every request that comes whole, for `run_s(attempt)` seconds, and answers it with one row."""

    def __init__(self, name, record, run_s):
        self.name, self.record, self.run_s = name, record, run_s
        self.attempts = []
        self.writers = set()

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port, backlog=512)
        self.port = self.server.sockets[0].getsockname()[1]

    async def stop(self):
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        running = {}
        try:
            while True:
                head = await reader.readexactly(16)
                mark, code, fields_n, body_n, ident = struct.unpack(">BBHIQ", head)
                rest = await reader.readexactly(fields_n + body_n + 4)
                fields, body = rest[:fields_n], rest[fields_n:fields_n + body_n]
                if mark != 128 or zlib.crc32(rest[:-4]) != struct.unpack(">I", rest[-4:])[0]:
                    self.record.write(f"engine {self.name}: frame that cannot be read")
                    break
                self.on_frame(writer, running, code, ident, fields.decode(), body)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.writers.discard(writer)
            for attempt, task in running.values():
                self.end(attempt, "given up with its connection")
                task.cancel()
            writer.close()

    def on_frame(self, writer, running, code, ident, fields, body):
        if code == 1:
            attempt = Attempt(self, ident, fields, body)
            self.attempts.append(attempt)
            self.record.write(f"engine {self.name}: request {ident:016x} [{fields}] came whole")
            running[ident] = (attempt, asyncio.ensure_future(self.run(writer, running, attempt)))
        elif code == 2 and ident in running:
            attempt, task = running.pop(ident)
            task.cancel()
            self.end(attempt, "given up")
        elif code in (3, 4):
            writer.write(frame(6, ident, b"gauges=inflight:%d" % len(running) if code == 4 else b""))

    def end(self, attempt, how):
        if attempt.ended is None:
            attempt.ended, attempt.how = time.time(), how
            self.record.write(f"engine {self.name}: request {attempt.ident:016x} {how}")

    async def run(self, writer, running, attempt):
        seconds = self.run_s(attempt)
        await asyncio.sleep(seconds)
        running.pop(attempt.ident, None)
        writer.write(frame(0, attempt.ident, b"parts=1,work=%d,peak=16,gauges=inflight:%d" %
                           (int(seconds * 1000), len(running)), self.row(attempt)))
        self.end(attempt, "answered ok")

    def row(self, attempt):
        return f"{self.name}\t{attempt.ident:016x}\t1\n".encode()


# ---- Command channel ----

class Channel:
    """Tells numbered events; `events[n]` is the frame of event n, event 1 is in the configuration."""

    def __init__(self, record):
        self.record, self.events, self.writers = record, {}, set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def last(self):
        return max(self.events, default=1)

    def tell(self, records, kind=2):
        number = self.last() + 1
        payload = b"".join(records)
        self.events[number] = struct.pack(">IQB", 9 + len(payload), number, kind) + payload
        self.record.write(f"channel: event {number}")
        for writer in self.writers:
            writer.write(self.events[number])

    async def serve(self, reader, writer):
        try:
            cursor, = struct.unpack(">Q", await reader.readexactly(8))
            for number in sorted(self.events):
                if number > cursor:
                    writer.write(self.events[number])
            self.writers.add(writer)
            while True:
                writer.write(struct.pack(">IQB", 9, self.last(), 0))
                await writer.drain()
                await asyncio.sleep(1)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


def engine_record(ident, port, state=0, started_ms=0, cell=0):
    return struct.pack(">I4sHBBBHIQ", ident, socket.inet_aton("127.0.0.1"), port, state, 0, 0, cell, 1000,
                       started_ms)


# ---- Clients ----

def new_trace():
    return f"{random.getrandbits(64):016x}"


class Request:
    def __init__(self, ident, method, trace, patience_ms):
        self.ident, self.method, self.trace, self.patience_ms = ident, method, trace, patience_ms
        self.written = None  # when the last byte was with the socket
        self.answers = []  # (time, text)
        self.answered = asyncio.get_running_loop().create_future()


class Client:
    """A usual client: one connection, requests with rising ids, all answers recorded."""

    def __init__(self, name, record, port):
        self.name, self.record, self.port = name, record, port
        self.requests, self.last_id, self.ended = {}, 0, None

    async def connect(self):
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port)
        self.writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.task = asyncio.ensure_future(self.read())

    async def read(self):
        try:
            while line := await self.reader.readline():
                answer = json.loads(line)
                request = self.requests.get(answer.get("id"))
                text = "result" if "result" in answer else f"error {answer['error']['code']}"
                self.record.write(f"client {self.name}: id {answer.get('id')} answered: {text} "
                                  f"{answer.get('error', {}).get('message', '')}")
                if request is not None:
                    request.answers.append((time.time(), text))
                    if not request.answered.done():
                        request.answered.set_result(text)
        except ConnectionError:
            pass
        self.ended = time.time()
        self.record.write(f"client {self.name}: connection ended by the manager")

    def line(self, method, patience_ms, statement, **params):
        self.last_id += 1
        request = Request(self.last_id, method, new_trace(), patience_ms)
        self.requests[request.ident] = request
        fields = {"trace": request.trace, "patience": patience_ms, **params,
                  "content": base64.b64encode(statement.encode()).decode()}
        text = json.dumps({"jsonrpc": "2.0", "id": request.ident, "method": method, "params": fields}) + "\n"
        return request, text.encode()

    def send(self, method, patience_ms, statement, **params):
        request, data = self.line(method, patience_ms, statement, **params)
        self.writer.write(data)
        if self.writer.transport.get_write_buffer_size() > 0:
            raise CannotRun("a request was not taken by the socket at once")
        request.written = time.time()
        self.record.write(f"client {self.name}: id {request.ident} {method} {request.trace} patience "
                          f"{patience_ms} ms, {len(data)} bytes, last byte written")
        return request

    async def is_well(self):
        self.last_id += 1
        request = Request(self.last_id, "isWell", "", 0)
        self.requests[request.ident] = request
        self.writer.write(json.dumps({"jsonrpc": "2.0", "id": request.ident, "method": "isWell"}).encode() +
                          b"\n")
        return await asyncio.wait_for(request.answered, 5)

    def close(self):
        self.task.cancel()
        self.writer.close()


# ---- The workload manager ----

class Manager:
    """The program that `run` of the deploy file starts, with a configuration in a temporary folder."""

    def __init__(self, config, record):
        self.config, self.record = config, record
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.process = None

    def write_config(self):
        path = os.path.join(self.folder, "config.json")
        with open(path + ".new", "w", encoding="utf-8") as out:
            json.dump(self.config, out)
        os.replace(path + ".new", path)
        return path

    def start(self, trace=False):
        with open(os.path.join(ROOT, "deploy", "balancer.toml"), "rb") as deploy:
            run = tomllib.load(deploy)["run"]
        if not os.path.exists(os.path.join(ROOT, "build", "src", "paddlestand")):
            raise CannotRun("the program is not built")
        environment = dict(os.environ, PROXY_NAME=self.config["name"], PROXY_LISTEN=self.config["listen"],
                           PROXY_CONFIG=self.write_config(), TMPDIR=self.folder)
        self.log = open(os.path.join(self.folder, "log"), "ab")
        self.process = subprocess.Popen(["/bin/sh", "-c", run + (" --trace" if trace else "")], cwd=ROOT,
                                        env=environment, stdin=subprocess.DEVNULL, stdout=self.log,
                                        stderr=self.log)

    async def wait_ready(self):
        port = int(self.config["listen"].split(":")[1])
        for _ in range(100):
            try:
                probe = Client("front", self.record, port)
                await probe.connect()
                if await probe.is_well() == "result":
                    probe.close()
                    return
            except (OSError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.1)
        raise CannotRun("the workload manager did not become ready")

    def signal(self, number):
        self.record.write(f"manager: {signal.Signals(number).name}")
        self.process.send_signal(number)

    def log_text(self):
        with open(os.path.join(self.folder, "log"), encoding="utf-8", errors="replace") as log:
            return log.read()

    def end(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


def config_for(classes, engine_ports, listen_port, channel_port, sockets=512, memory_mb=64, rules=None,
               permissions=None, starts=None):
    """A configuration with one zone, one kind of engine and the given classes."""
    instances = [{"instanceId": f"s-{i + 1:08x}", "hostPort": f"127.0.0.1:{port}", "zone": "tema-dc",
                  "machineType": "std-8a", "cell": 0, "lifecycle": "active", "weight": 1,
                  "startedAtMs": (starts or {}).get(i + 1, 0)} for i, port in enumerate(engine_ports)]
    settings = {
        "balancers": 3, "position": 0, "az": 0, "areas": ["tema-dc"], "flavors": ["std-8a"],
        "granularity_ns": 5000000, "classes": classes,
        "family_info": {"class_threads": [c.get("threads", 1) for c in classes], "kind_cores": [8],
                        "size_mb": [16384], "tells_cost": True},
        "permissions": {"multiplex": 32, "conn_idle_ns": 15000000000, "dial_timeout_ns": 250000000,
                        "max_attempts": 3, "cancel": True, "probes": True, "parallel_tries": False,
                        **(permissions or {})},
        "rules": {"answer_slack_ns": 50000000, "drain_grace_ns": 250000000, "cold_from": 0.31,
                  "cold_ns": 8400000000, "tip_multiple": 4, "fall_ns": 1500000000, "extra_floor": 5,
                  "repeat_ratio": 0.1, "look_back_ns": 5000000000, **(rules or {})},
        "report": {"how": "inline", "names": ["inflight"]}, "tenants": []}
    return {"name": "n0", "listen": f"127.0.0.1:{listen_port}", "seed": f"{random.getrandbits(64):016x}",
            "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
            "channel": f"127.0.0.1:{channel_port}",
            "known": {"cursor": 1, "cmds": [{"cursor": 1, "nodes": {"generation": 1, "reset": True,
                                                                    "instances": instances}}]},
            "settings": settings}


def class_of(name, repeat, aim_ms, deadline_ms, worth=1.0, **more):
    return {"name": name, "aim_ns": aim_ms * 1000000, "deadline_ns": deadline_ms * 1000000, "gain": worth,
            "late_value": 0.5, "repeat": repeat, **more}


def run_case(case, folder, seconds=110):
    """Runs the coroutine `case(record, disturbed)`, which returns the list of broken rules. Exit code: 1 if
    there is one, 0 if there is none, 2 if the case could not run."""
    disturbed = os.environ.get("TROUBLE", "1") != "0"
    record = Record(os.path.join(folder, "record.txt"))
    record.write("with the disruption" if disturbed else "without the disruption")
    try:
        broken = asyncio.run(asyncio.wait_for(case(record, disturbed), seconds))
    except CannotRun as reason:
        record.write(f"could not run: {reason}")
        print(f"could not run: {reason}")
        sys.exit(2)
    except (OSError, asyncio.TimeoutError) as reason:
        record.write(f"could not run: {reason!r}")
        print(f"could not run: {reason!r}")
        sys.exit(2)
    for text in broken:
        record.write("BROKEN: " + text)
        print("BROKEN: " + text)
    if not broken:
        record.write("the rule held")
        print("the rule held")
    sys.exit(1 if broken else 0)
