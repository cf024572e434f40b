"""Stand-ins for the platform, engines and clients of a workload manager, and the manager's process.

They follow the platform's protocol page. Only the standard library is used, all addresses are loopback
addresses, and all times are those of the monotonic clock, in seconds.
"""

import asyncio
import base64
import json
import os
import shlex
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import zlib
from pathlib import Path

REPOSITORY = Path(__file__).resolve().parents[2]
MS = 1_000_000  # nanoseconds


def now():
    return time.monotonic()


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def deploy_command(name):
    """Returns a command of the deploy file."""
    import tomllib

    with open(REPOSITORY / "deploy" / "balancer.toml", "rb") as file:
        return tomllib.load(file)[name]


class Record:
    """The record of a run: a line for each thing sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.began = now()

    def add(self, text, at=None):
        self.file.write(f"{(at or now()) - self.began:9.3f} {text}\n")
        self.file.flush()


# ---- Configuration ----


def class_settings(name, repeat="pure", aim_ms=1500, deadline_ms=7500, gain=1.0, **more):
    return {
        "name": name,
        "aim_ns": aim_ms * MS,
        "aim_stretch": 2.0,
        "deadline_ns": deadline_ms * MS,
        "gain": gain,
        "late_value": 0.5,
        "repeat": repeat,
        "key_scope": "all",
        "key_ttl_ns": 25000 * MS,
        "stream": False,
        **more,
    }


def engine_entry(number, port, state="active", started_ms=0, zone="tema-dc", cell=0):
    return {
        "instanceId": f"s-{number:08x}",
        "hostPort": f"127.0.0.1:{port}",
        "zone": zone,
        "machineType": "std-8a",
        "cell": cell,
        "lifecycle": state,
        "weight": 1,
        "startedAtMs": started_ms,
    }


def config(listen, channel, engines, classes, limits=None, permissions=None, rules=None, instances=1,
           areas=("tema-dc",)):
    """A whole configuration, with figures like those of the deployment tema-charts."""
    count = len(classes)
    return {
        "name": "n0",
        "listen": f"127.0.0.1:{listen}",
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024, **(limits or {})},
        "channel": f"127.0.0.1:{channel}",
        "known": {
            "cursor": 1,
            "cmds": [{"cursor": 1, "nodes": {"generation": 1, "reset": True, "instances": engines}}],
        },
        "settings": {
            "balancers": instances,
            "position": 0,
            "az": 0,
            "areas": list(areas),
            "flavors": ["std-8a"],
            "granularity_ns": 5 * MS,
            "classes": classes,
            "family": "queries",
            "family_info": {
                "class_threads": [1] * count,
                "class_waits": [False] * count,
                "writes_tables": [False] * count,
                "kind_cores": [8],
                "size_mb": [16384.0],
                "grants": True,
                "max_grant_share": 0.4,
                "takes_priority": True,
                "tells_cost": True,
                "on_shortage": "line_up",
                "note_period_ns": 0,
            },
            "permissions": {
                "cancel": True,
                "conn_idle_ns": 15000 * MS,
                "dial_timeout_ns": 250 * MS,
                "max_attempts": 3,
                "max_retry_after_ns": 500 * MS,
                "may_tell": False,
                "multiplex": 32,
                "open_cap": 26037,
                "parallel_tries": False,
                "probes": True,
                "retry_after": False,
                **(permissions or {}),
            },
            "prices": {"cross_zone": 0.0, "peer": 0.0},
            "report": {"how": "inline", "names": ["utilization"]},
            "rules": {
                "answer_slack_ns": 20 * MS,
                "drain_grace_ns": 250 * MS,
                "cold_from": 0.31,
                "cold_ns": 15000 * MS,
                "tip_multiple": 4.0,
                "fall_ns": 1500 * MS,
                "order_settle_ns": 0,
                "extra_floor": 5.0,
                "repeat_ratio": 0.1,
                "look_back_ns": 5000 * MS,
                **(rules or {}),
            },
            "membership_mode": "push",
            "tenants": [],
            "stage": 0,
            "tiers": ["chart-query"],
            "weights": "rough",
            "worth_by": "request",
        },
    }


# ---- The manager ----


class Manager:
    """The workload manager, started with `run` of the deploy file."""

    def __init__(self, settings, folder, record):
        self.settings = settings
        self.record = record
        self.folder = Path(folder)
        self.config_path = self.folder / "config.json"
        self.write_config(settings)
        self.host, port = settings["listen"].split(":")
        self.port = int(port)
        self.log_path = self.folder / "manager.log"
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "TMPDIR": str(self.folder),
            "PROXY_NAME": settings["name"],
            "PROXY_LISTEN": settings["listen"],
            "PROXY_CONFIG": str(self.config_path),
        }
        command = deploy_command("run")
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", command],
            cwd=REPOSITORY,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=subprocess.DEVNULL,
            stderr=open(self.log_path, "wb"),
        )
        record.add(f"manager started: {shlex.quote(command)}")

    def write_config(self, settings):
        fresh = self.folder / "config.new"
        fresh.write_text(json.dumps(settings))
        fresh.replace(self.config_path)

    def signal(self, number):
        self.record.add(f"manager is sent {signal.Signals(number).name}")
        self.process.send_signal(number)

    def memory_kb(self, field):
        """A field of the process's status, such as RssAnon; 0 if the process has ended."""
        try:
            for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
                if line.startswith(field + ":"):
                    return int(line.split()[1])
        except OSError:
            pass
        return 0

    async def wait_until_ready(self, seconds=10):
        end = now() + seconds
        while now() < end:
            try:
                client = await Client.connect(self.port)
            except OSError:
                await asyncio.sleep(0.05)
                continue
            try:
                answer = await asyncio.wait_for(client.call("isWell", None), 1)
            except (OSError, asyncio.TimeoutError):
                answer = None
            await client.close()
            if answer and answer.get("result", {}).get("green") is True:
                self.record.add("manager is ready")
                return True
            await asyncio.sleep(0.05)
        return False

    def end(self):
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        self.process.wait()
        self.record.add(f"manager ended with {self.process.returncode}")


# ---- The command channel ----


class Channel:
    """The command channel: numbered events, and an empty frame each second."""

    STATES = {"active": 0, "leaving": 1, "left": 2}

    def __init__(self, record):
        self.record = record
        self.events = []  # (number, is whole list, entries)
        self.writers = set()
        self.last = 1
        self.port = 0

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    def record_of(self, entry):
        host, port = entry["hostPort"].split(":")
        return (
            struct.pack(">I", int(entry["instanceId"][2:], 16))
            + socket.inet_aton(host)
            + struct.pack(">HBBBHIQ", int(port), self.STATES[entry["lifecycle"]], 0, 0, entry["cell"],
                          int(entry["weight"] * 1000), entry["startedAtMs"])
        )

    def frame(self, number, kind, entries=()):
        payload = b"".join(self.record_of(entry) for entry in entries)
        return struct.pack(">IQB", 9 + len(payload), number, kind) + payload

    def tell(self, entries):
        """Tells a change; it counts as told at once."""
        self.last += 1
        event = (self.last, 2, entries)
        self.events.append(event)
        self.record.add("channel tells " + ", ".join(f"{e['instanceId']} {e['lifecycle']}" for e in entries))
        for writer in list(self.writers):
            writer.write(self.frame(*event))

    async def serve(self, reader, writer):
        try:
            cursor = struct.unpack(">Q", await reader.readexactly(8))[0]
            for event in self.events:
                if event[0] > cursor:
                    writer.write(self.frame(*event))
            self.writers.add(writer)
            while True:
                writer.write(self.frame(self.last, 0))
                await writer.drain()
                await asyncio.sleep(1)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


# ---- Engines ----


class Request:
    """A request as an engine got it."""

    def __init__(self, trace, fields, body, at):
        self.trace = trace
        self.fields = fields
        self.body = body
        self.at = at
        self.kind = fields.get("kind")
        self.token = fields.get("token")
        self.cancelled = None
        self.ended = None


class Engine:
    """An engine. `behave(engine, request, connection)` may return "default", or handle the request itself."""

    def __init__(self, name, record, run_ms=50, behave=None, on_request=None):
        self.name = name
        self.record = record
        self.run_ms = run_ms
        self.behave = behave
        self.on_request = on_request
        self.requests = []
        self.connections = set()
        self.tasks = set()
        self.quiet = False

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port, limit=1 << 20)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    @staticmethod
    def frame(code, trace, fields="", body=b""):
        fields = fields.encode()
        content = fields + body
        return (struct.pack(">BBHI", 129, code, len(fields), len(body)) + bytes.fromhex(trace) + content
                + struct.pack(">I", zlib.crc32(content)))

    def answer(self, connection, request, body=b"a\tb\tc\n"):
        request.ended = now()
        work = self.run_ms
        connection.write(self.frame(0, request.trace, f"parts=1,work={work},peak=16,gauges=utilization:0.2",
                                    body))
        if not self.quiet:
            self.record.add(f"{self.name} answers {request.trace}: ok")

    async def serve(self, reader, writer):
        connection = EngineConnection(self, writer)
        self.connections.add(connection)
        try:
            while True:
                head = await reader.readexactly(16)
                mark, code, fields_length, body_length = struct.unpack(">BBHI", head[:8])
                content = await reader.readexactly(fields_length + body_length + 4)
                trace = head[8:16].hex()
                self.take(connection, code, trace, content[:fields_length].decode(),
                          content[fields_length:-4])
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            connection.ended = True
            self.connections.discard(connection)
            for request in connection.open.values():
                request.cancelled = request.cancelled or now()
            try:
                writer.close()
            except OSError:
                pass

    def take(self, connection, code, trace, fields, body):
        if code == 1:
            named = dict(part.split("=", 1) for part in fields.split(","))
            request = Request(trace, named, body, now())
            self.requests.append(request)
            connection.open[trace] = request
            if not self.quiet:
                self.record.add(f"{self.name} gets {trace} {fields}", request.at)
            if self.on_request:
                self.on_request(self, request)
            handled = self.behave(self, request, connection) if self.behave else "default"
            if handled == "default":
                task = asyncio.ensure_future(self.run(connection, request))
                self.tasks.add(task)
                task.add_done_callback(self.tasks.discard)
        elif code == 2:
            request = connection.open.pop(trace, None)
            if request:
                request.cancelled = now()
                if not self.quiet:
                    self.record.add(f"{self.name} is told to give up {trace}")
        elif code in (3, 4):
            connection.write(self.frame(6, trace, "gauges=utilization:0.2" if code == 4 else ""))

    async def run(self, connection, request):
        await asyncio.sleep(self.run_ms / 1000)
        if not request.cancelled and not connection.ended:
            connection.open.pop(request.trace, None)
            self.answer(connection, request)


class EngineConnection:
    def __init__(self, engine, writer):
        self.engine = engine
        self.writer = writer
        self.open = {}
        self.ended = False

    def write(self, data):
        if not self.ended:
            try:
                self.writer.write(data)
            except OSError:
                pass

    def reset(self):
        if self.ended:
            return
        sock = self.writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.ended = True
        self.writer.transport.abort()


# ---- Clients ----


class Client:
    """A usual client's connection."""

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer
        self.last_id = 0
        self.waiting = {}
        self.ended = False
        self.task = asyncio.ensure_future(self.read())

    @classmethod
    async def connect(cls, port):
        return cls(*await asyncio.open_connection("127.0.0.1", port, limit=1 << 20))

    async def read(self):
        try:
            while True:
                line = await self.reader.readline()
                if not line.endswith(b"\n"):
                    break
                message = json.loads(line)
                waiting = self.waiting.pop(message.get("id"), None)
                if waiting and not waiting.done():
                    waiting.set_result(message)
        except (OSError, ValueError):
            pass
        self.give_up()

    def give_up(self):
        self.ended = True
        for waiting in self.waiting.values():
            if not waiting.done():
                waiting.set_result(None)
        self.waiting.clear()

    def line(self, method, params):
        """The line of the next call."""
        self.last_id += 1
        message = {"jsonrpc": "2.0", "id": self.last_id, "method": method}
        if params is not None:
            message["params"] = params
        return json.dumps(message).encode() + b"\n"

    def expect(self):
        """The future of the last line's answer, or None if the connection ends without one."""
        future = asyncio.get_running_loop().create_future()
        if self.ended:
            future.set_result(None)
        else:
            self.waiting[self.last_id] = future
        return future

    def send(self, method, params):
        """Sends a call. Returns its future: the answer, or None if the connection ended without one."""
        line = self.line(method, params)
        answer = self.expect()
        if not self.ended:
            self.writer.write(line)
        return answer

    async def call(self, method, params):
        return await self.send(method, params)

    async def close(self):
        self.task.cancel()
        self.give_up()
        self.writer.close()
        try:
            await self.writer.wait_closed()
        except OSError:
            pass


def new_trace():
    return os.urandom(8).hex()


def params(trace, patience_ms, statement="select 1 from s_1.t", weight=50.0, need_mb=16, nonce=None, entity=None):
    out = {
        "trace": trace,
        "patience": patience_ms,
        "weight": weight,
        "need_mb": need_mb,
        "content": base64.b64encode(statement.encode()).decode(),
    }
    if nonce:
        out["nonce"] = nonce
    if entity:
        out["entity"] = entity
    return out


def kind_of(answer):
    if answer is None:
        return "none"
    if "result" in answer:
        return "served"
    return "refused" if answer.get("error", {}).get("code") == -32001 else "failed"


def run_case(main):
    """Runs `main(folder, record, trouble)` and exits with its result: 1 broken, 0 held, 2 could not run."""
    case = Path(sys.argv[1])
    trouble = os.environ.get("TROUBLE", "1") != "0"
    # Ended from outside, the case still ends the processes that it started.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    record = Record(case / "record.txt")
    with tempfile.TemporaryDirectory() as folder:
        try:
            result = asyncio.run(asyncio.wait_for(main(Path(folder), record, trouble), 110))
        except Exception as error:  # the case could not run
            record.add(f"could not run: {type(error).__name__}: {error}")
            print(f"could not run: {type(error).__name__}: {error}")
            result = 2
    record.add(f"result {result}")
    sys.exit(result)
