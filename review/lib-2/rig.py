"""Stand-ins for the platform, engines and clients of a workload manager, for the cases 6 to 10.

They follow the pages PROTOCOL, DEPLOY, DAYS and STANDING. Everything runs on loopback addresses and the real clock.
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

ROOT = os.path.realpath(os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", ".."))
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


class CouldNotRun(Exception):
    """The case could not be set up; says nothing about the rule."""


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


class Record:
    """What was sent, answered and run, with times in seconds since the start; written to record.txt."""

    def __init__(self, folder):
        self.began = time.time()
        self.out = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.line(f"trouble: {'on' if trouble() else 'off'}")

    def line(self, text):
        self.out.write(f"{time.time() - self.began:9.3f} {text}\n")
        self.out.flush()


# ---- Engines ----

def frame(mark, code, number, fields=b"", body=b""):
    return (struct.pack(">BBHIQ", mark, code, len(fields), len(body), number) + fields + body +
            struct.pack(">I", zlib.crc32(fields + body)))


class Attempt:
    """One request that came whole to an engine."""

    def __init__(self, engine, link, number, fields, body):
        self.engine, self.link, self.number, self.body = engine, link, number, body
        self.fields = dict(one.split("=", 1) for one in fields.decode().split(",") if one)
        self.trace = f"{number:016x}"
        self.came = time.time()
        self.given_up = False

    def answer(self, code=0, fields=b"", body=b""):
        if self.link.is_closing():
            return
        self.link.write(frame(129, code, self.number, fields, body))

    def serve(self, work_ms, rows=1):
        body = b"".join(b"%d\t%s\t%s\n" % (i, self.engine.name.encode(), self.trace.encode()) for i in range(rows))
        self.answer(0, b"parts=1,work=%d,peak=16,gauges=inflight:%d" % (work_ms, self.engine.inflight()), body)


class Engine:
    """Runs what comes, each request for its own time; on_request(attempt) may take a request over."""

    def __init__(self, record, number, work_ms=20, on_request=None):
        self.record, self.number, self.work_ms, self.on_request = record, number, work_ms, on_request
        self.name = f"s-{number:08x}"
        self.open, self.attempts = {}, []

    async def start(self):
        self.server = await asyncio.start_server(self.serve_link, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    def inflight(self):
        return len(self.open)

    async def serve_link(self, reader, writer):
        mine = set()
        try:
            while True:
                head = await reader.readexactly(16)
                mark, code, fields, body, number = struct.unpack(">BBHIQ", head)
                if mark != 128 or body > 1 << 20:
                    break
                rest = await reader.readexactly(fields + body + 4)
                if struct.unpack(">I", rest[-4:])[0] != zlib.crc32(rest[:-4]):
                    break
                self.take(writer, mine, code, number, rest[:fields], rest[fields:fields + body])
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        for key in mine:  # the end of a connection gives up everything on it
            if key in self.open:
                self.open.pop(key).given_up = True
        writer.close()

    def take(self, writer, mine, code, number, fields, body):
        key = (id(writer), number)
        if code == 1:
            attempt = Attempt(self, writer, number, fields, body)
            self.open[key] = attempt
            mine.add(key)
            self.attempts.append(attempt)
            self.record.line(f"engine {self.name} got {attempt.trace} kind={attempt.fields.get('kind')}"
                             f" token={attempt.fields.get('token', '-')} ms={attempt.fields.get('ms')}")
            if self.on_request is not None and self.on_request(attempt):
                return
            asyncio.get_running_loop().create_task(self.run(key, attempt))
        elif code == 2:
            if key in self.open:
                self.open.pop(key).given_up = True
                self.record.line(f"engine {self.name} was told to give up {number:016x}")
        elif code in (3, 4):
            writer.write(frame(129, 6, number, b"gauges=inflight:%d" % self.inflight()))

    async def run(self, key, attempt):
        await asyncio.sleep(self.work_ms / 1000)
        if self.open.pop(key, None) is None:
            return
        self.record.line(f"engine {self.name} ran {attempt.trace}")
        attempt.serve(self.work_ms)


# ---- The command channel ----

class Channel:
    """Tells the events after the number that a workload manager asks from, and an empty frame each second."""

    def __init__(self, record):
        self.record, self.events, self.writers, self.last = record, [], set(), 1

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    @staticmethod
    def record_of(engine, state):
        address = struct.unpack(">I", socket.inet_aton("127.0.0.1"))[0]
        return struct.pack(">IIHBBBHIQ", engine.number, address, engine.port, state, 0, 0, 0, 1000, 0)

    def tell(self, engine, state):
        self.last += 1
        payload = self.record_of(engine, state)
        event = struct.pack(">IQB", 9 + len(payload), self.last, 2) + payload
        self.events.append((self.last, event))
        for writer in self.writers:
            writer.write(event)
        self.record.line(f"channel tells event {self.last}: {engine.name} state {state}")

    async def serve(self, reader, writer):
        try:
            cursor = struct.unpack(">Q", await reader.readexactly(8))[0]
            for number, event in self.events:
                if number > cursor:
                    writer.write(event)
            self.writers.add(writer)
            while True:
                writer.write(struct.pack(">IQB", 9, self.last, 0))
                await writer.drain()
                await asyncio.sleep(1)
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        self.writers.discard(writer)
        writer.close()


# ---- Clients ----

class Client:
    """A client's connection. Answers are kept by id with their times."""

    def __init__(self, record, name):
        self.record, self.name, self.next_id = record, name, 0
        self.answers, self.waiting, self.ended = {}, {}, asyncio.Event()

    async def connect(self, port, limit=2 ** 17):
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", port, limit=limit)
        self.task = asyncio.get_running_loop().create_task(self.read())
        return self

    async def read(self):
        try:
            while line := await self.reader.readline():
                answer = json.loads(line)
                answer["came"] = time.time()
                number = answer.get("id")
                self.answers.setdefault(number, []).append(answer)
                if number in self.waiting:
                    self.waiting.pop(number).set_result(answer)
                self.record.line(f"client {self.name} read {outcome(answer)} for id {number}")
        except (ConnectionError, OSError, ValueError):
            pass
        self.ended.set()
        self.writer.close()
        for one in self.waiting.values():
            if not one.done():
                one.set_result(None)

    def line(self, kind, patience_ms, statement, **more):
        self.next_id += 1
        trace = f"{random.getrandbits(64):016x}"
        params = {"trace": trace, "patience": patience_ms, "weight": more.pop("weight", 20.0), "need_mb": 16, **more,
                  "content": base64.b64encode(statement).decode()}
        message = {"jsonrpc": "2.0", "id": self.next_id, "method": kind, "params": params}
        return self.next_id, trace, json.dumps(message).encode() + b"\n"

    def send(self, kind, patience_ms, statement=b"SELECT 1 FROM a_1.b", **more):
        """Writes a request in one piece. Returns its id, its trace, when it was written, and its answer to come."""
        number, trace, line = self.line(kind, patience_ms, statement, **more)
        answer = asyncio.get_running_loop().create_future()
        self.waiting[number] = answer
        self.writer.write(line)
        written = time.time()
        if self.writer.transport.get_write_buffer_size() > 0:
            raise CouldNotRun("a request could not be written at once")
        self.record.line(f"client {self.name} wrote {kind} {trace} id {number}, {len(line)} bytes,"
                         f" patience {patience_ms} ms {json.dumps(more)}")
        return number, trace, written, answer

    async def ask(self, kind, patience_ms, statement=b"SELECT 1 FROM a_1.b", **more):
        _, trace, written, answer = self.send(kind, patience_ms, statement, **more)
        return trace, written, await answer

    def close(self):
        self.writer.close()

    def write_half_and_close(self, half):
        """What a bad client does: half a request, and a close after the 3 s in which it is owed an answer."""
        self.writer.write(half)
        asyncio.get_running_loop().call_later(3, self.close)


def outcome(answer):
    if answer is None:
        return "nothing"
    if "error" in answer:
        error = answer["error"]
        return ("refused" if error["code"] == -32001 else "failed") + f" ({error['code']}: {error['message']})"
    return "served"


class HalfRequest:
    """A bad client: half a request, written at full speed, and a close: 3 s later, or when it is told to go.

    It waits as long as the page owes it a refusal, an error or a close (3 s)."""

    HALF = b'{"jsonrpc":"2.0","id":1,"method":"lookup","params":{"content":"' + b"A" * 4000

    async def connect(self, port):
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", port)
        self.writer.write(self.HALF)
        self.task = asyncio.get_running_loop().create_task(self.read())
        asyncio.get_running_loop().call_later(3, self.writer.close)
        return self

    async def read(self):
        try:
            while await self.reader.read(4096):
                pass
        except (ConnectionError, OSError):
            pass
        self.writer.close()


# ---- The workload manager ----

def request_class(name, repeat, deadline_ms, **more):
    return {"name": name, "aim_ns": int(deadline_ms * 2e5), "deadline_ns": int(deadline_ms * 1e6), "gain": 1.0,
            "late_value": 0.5, "repeat": repeat, **more}


def configuration(listen, channel, engines, classes, memory_mb=64, sockets=256, **settings):
    """The file of a small deployment; `settings` replaces members of its settings."""
    instances = [{"instanceId": engine.name, "hostPort": f"127.0.0.1:{engine.port}", "zone": "here",
                  "machineType": "std", "cell": 0, "lifecycle": "active", "weight": 1, "startedAtMs": 0}
                 for engine in engines]
    whole = {
        "balancers": 1, "position": 0, "az": 0, "areas": ["here"], "flavors": ["std"], "granularity_ns": 5000000,
        "classes": classes,
        "family_info": {"class_threads": [1] * len(classes), "kind_cores": [8], "size_mb": [16384]},
        "permissions": {"multiplex": 32, "conn_idle_ns": 15000000000, "dial_timeout_ns": 250000000,
                        "max_attempts": 3, "cancel": True, "probes": True, "parallel_tries": False},
        "rules": {"drain_grace_ns": 250000000, "cold_from": 0.3, "cold_ns": 10000000000, "tip_multiple": 4.0,
                  "fall_ns": 1500000000, "order_settle_ns": 0, "answer_slack_ns": 0},
        "report": {"how": "inline", "names": ["inflight"]}, "tenants": []}
    for name, value in settings.items():
        whole[name] = {**whole.get(name, {}), **value} if isinstance(value, dict) else value
    return {"name": "n0", "listen": f"127.0.0.1:{listen}", "seed": f"{random.getrandbits(63):016x}",
            "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
            "channel": f"127.0.0.1:{channel.port}",
            "known": {"cursor": 1, "cmds": [{"cursor": 1, "nodes": {"generation": 1, "reset": True,
                                                                   "instances": instances}}]},
            "settings": whole}


class Manager:
    """The program, started with `run` of the deploy file."""

    def __init__(self, record, config):
        self.record, self.config = record, config
        self.folder = tempfile.mkdtemp(prefix="paddlestand-review-")
        self.port = int(config["listen"].rsplit(":", 1)[1])
        self.process = None

    async def start(self):
        with open(os.path.join(ROOT, "deploy", "balancer.toml"), "rb") as file:
            run = tomllib.load(file)["run"]
        path = os.path.join(self.folder, "config.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(self.config, file)
        environment = {**os.environ, "PROXY_NAME": "n0", "PROXY_LISTEN": self.config["listen"],
                       "PROXY_CONFIG": path, "TMPDIR": self.folder}
        self.log = open(os.path.join(self.folder, "log"), "w", encoding="utf-8")
        self.process = subprocess.Popen(["/bin/sh", "-c", run], cwd=ROOT, env=environment, stdin=subprocess.DEVNULL,
                                        stdout=self.log, stderr=self.log)
        for _ in range(300):
            if self.process.poll() is not None:
                raise CouldNotRun(f"the program ended at its start with {self.process.returncode}")
            if await self.is_well():
                self.record.line("workload manager is ready")
                return self
            await asyncio.sleep(0.1)
        raise CouldNotRun("the program was not ready after 30 s")

    async def is_well(self):
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
            writer.write(b'{"jsonrpc":"2.0","id":1,"method":"isWell"}\n')
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
            return b'"green":true' in line
        except (OSError, asyncio.TimeoutError):
            return False

    def signal(self, number):
        self.record.line(f"signal {signal.Signals(number).name} to the workload manager")
        self.process.send_signal(number)

    def exit_code(self):
        return self.process.poll()

    def anonymous_kb(self):
        """Private memory, without files and sockets; 0 once the process has ended."""
        with open(f"/proc/{self.process.pid}/status", encoding="utf-8") as status:
            return next((int(line.split()[1]) for line in status if line.startswith("RssAnon")), 0)

    def processor_s(self):
        with open(f"/proc/{self.process.pid}/stat", encoding="utf-8") as stat:
            fields = stat.read().rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def end(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


def main(play):
    """Runs `play(record, managers)`, which returns the broken rules as texts, and ends the process with the result."""
    def leave(*_):
        raise SystemExit(COULD_NOT_RUN)

    signal.signal(signal.SIGTERM, leave)
    folder = os.path.dirname(os.path.abspath(sys.argv[0]))
    record, managers, result = Record(folder), [], COULD_NOT_RUN
    try:
        breaks = asyncio.run(asyncio.wait_for(play(record, managers), 110))
        for text in breaks:
            record.line("BROKEN: " + text)
            print("BROKEN: " + text)
        result = BROKEN if breaks else HELD
    except Exception as error:  # also an error of the stand-ins: it says nothing about the rule
        record.line(f"could not run: {error!r}")
        print(f"could not run: {error!r}")
    finally:
        for manager in managers:
            manager.end()
    record.line({HELD: "result: the rule held", BROKEN: "result: the rule was broken",
                 COULD_NOT_RUN: "result: the case could not run"}[result])
    print({HELD: "held", BROKEN: "broken", COULD_NOT_RUN: "could not run"}[result])
    sys.stdout.flush()
    os._exit(result)  # the event loop is gone: its connections need no orderly end
