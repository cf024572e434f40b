"""A further attempt of a keyed load whose connection comes up late, and a stop of the process meanwhile."""
from rig import *

WINDOW_S = 3.0
SLACK_S = 0.05  # PROTOCOL: every time limit is 50 ms longer
STOP_S = 3.0


class Group:
    """What the engines of a group remember of a token: they drop a repeat for WINDOW_S."""

    def __init__(self, record):
        self.record, self.began, self.effects = record, {}, {}

    def run(self, attempt):
        token, now = attempt.fields["token"], time.time()
        if token in self.began and now < self.began[token] + WINDOW_S:
            self.record.line(f"engine {attempt.engine.name} drops the repeat of {token}")
            return
        self.began[token] = now
        self.effects.setdefault(token, []).append(now)
        self.record.line(f"engine {attempt.engine.name} applies {token}")


class LateEngine(Engine):
    """Its connections come up about 1 s late: its line of new connections is full, so the first SYN is dropped."""

    async def start(self):
        self.socket = socket.socket()
        self.socket.bind(("127.0.0.1", 0))
        self.socket.listen(0)
        self.port = self.socket.getsockname()[1]
        self.filler = socket.create_connection(("127.0.0.1", self.port))
        return self

    async def come_up(self):
        self.filler.close()
        self.socket.setblocking(False)
        self.server = await asyncio.start_server(self.serve_link, sock=self.socket)


async def play_round(record, managers):
    channel = await Channel(record).start()
    group, came, failed = Group(record), asyncio.Event(), asyncio.Event()

    def run_then_fail(attempt):
        group.run(attempt)
        came.set()

        async def fail():
            await asyncio.sleep(0.3)
            record.line(f"engine {attempt.engine.name} answers {attempt.trace} with an error: it may have run")
            attempt.answer(4)
            failed.set()

        asyncio.get_running_loop().create_task(fail())
        return True

    def run(attempt):
        group.run(attempt)
        return False

    first = await Engine(record, 1, on_request=run_then_fail).start()
    late = await LateEngine(record, 2, on_request=run).start()
    classes = [request_class("load", "token", 25000, key_scope="all", key_ttl_ns=int(WINDOW_S * 1e9))]
    manager = Manager(record, configuration(free_port(), channel, [first], classes, memory_mb=64, sockets=256))
    managers.append(manager)
    await manager.start()
    await asyncio.sleep(1.2)
    client = await Client(record, "c0").connect(manager.port)
    token = f"{random.getrandbits(128):032x}"
    _, trace, _, answer = client.send("load", 20000, b"INSERT INTO a_1.depths VALUES (1,17.5)", nonce=token, weight=300.0)
    await came.wait()
    channel.tell(late, 0)
    await failed.wait()
    await asyncio.sleep(0.1)
    if trouble():
        manager.signal(signal.SIGSTOP)
    await late.come_up()
    await asyncio.sleep(STOP_S)
    if trouble():
        manager.signal(signal.SIGCONT)
    await asyncio.wait([answer], timeout=5)
    sent = sorted(attempt.came for engine in (first, late) for attempt in engine.attempts if attempt.trace == trace)
    if not sent:
        raise CouldNotRun("the load was not sent")
    breaks = [f"a further attempt of {trace} came to an engine {one - sent[0]:.3f} s after the first one, which may have"
              f" run; the engines remember its key for {WINDOW_S} s" for one in sent[1:] if one > sent[0] + WINDOW_S + SLACK_S]
    if len(group.effects.get(token, [])) > 1:
        breaks.append(f"{token} was applied {len(group.effects[token])} times")
    if manager.exit_code() is not None:
        breaks.append("the workload manager has ended")
    return breaks


async def play(record, managers):
    """Three rounds at most: after one stop in ten the manager handles the timer of its connection first."""
    for number in range(3):
        record.line(f"round {number + 1}")
        breaks = await play_round(record, managers)
        managers.pop().end()
        if breaks:
            return breaks
    return []


main(play)
