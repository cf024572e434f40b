"""Clients that send many commands at once, and whether the lookups of others get their answers in time."""
from rig import *

PATIENCE_MS = 2000  # lookups are given up after 2.5 s, a try after 80 to 100% of that
SLACK_S = 0.5 + 0.05  # STANDING: half a second; PROTOCOL: every time limit is 50 ms longer
BURST_CLIENTS, COMMANDS = 250, 31  # PROTOCOL: up to 32 open on a connection, connections a third of 1,024 at most


class TwoSpeeds(Engine):
    """Takes 4 s for a long load and 20 ms for everything else."""

    async def run(self, key, attempt):
        long = b"LONG" in attempt.body
        await asyncio.sleep(4 if long else 0.02)
        if self.open.pop(key, None) is not None:
            attempt.serve(4000 if long else 20)


def load(client, key, long):
    return client.line("load", 22000, b"INSERT INTO a_1.depths " + (b"LONG" if long else b"SHORT"),
                       weight=4000.0 if long else 10.0, entity=f"{key:016x}", nonce=f"{random.getrandbits(128):032x}")[2]


class Quiet:
    """Writes no lines: thousands of them would slow the stand-ins down."""

    def line(self, text):
        pass


async def play(record, managers):
    channel = await Channel(record).start()
    engines = [await TwoSpeeds(Quiet(), number + 1).start() for number in range(17)]
    classes = [{**request_class("lookup", "pure", 2500), "aim_ns": 500000000},
               {**request_class("load", "token", 25000, key_scope="all", key_ttl_ns=25000000000, in_turn=True),
                "aim_ns": 4000000000}]
    manager = Manager(record, configuration(free_port(), channel, engines, classes, memory_mb=192, sockets=1024))
    managers.append(manager)
    await manager.start()
    usual = [await Client(record, f"c{number}").connect(manager.port) for number in range(3)]
    await asyncio.gather(*(one.ask("load", 22000, b"INSERT INTO a_1.depths LONG", weight=4000.0, entity=f"{key:016x}",
                                   nonce=f"{random.getrandbits(128):032x}") for key, one in enumerate(usual * 3)))
    for one in usual:
        await one.ask("lookup", PATIENCE_MS)
    burst = []
    if trouble():
        burst = [await Client(Quiet(), f"burst{number}").connect(manager.port) for number in range(BURST_CLIENTS)]
        await asyncio.sleep(0.2)
        for number, one in enumerate(burst):
            one.writer.write(b"".join(load(one, 1000 + number, count == 0) for count in range(COMMANDS)))
        record.line(f"{BURST_CLIENTS} clients have each written {COMMANDS} loads of a key of their own at once")
    await asyncio.sleep(0.05)
    busy = manager.processor_s()
    sent = [one.send("lookup", PATIENCE_MS) for one in usual]
    await asyncio.wait([answer for _, _, _, answer in sent], timeout=25)
    breaks = []
    for one, (_, trace, written, answer) in zip(usual, sent):
        over = written + PATIENCE_MS / 1000
        if not answer.done() or answer.result() is None:
            breaks.append(f"{trace} of client {one.name} has no answer")
        elif answer.result()["came"] > over + SLACK_S:
            breaks.append(f"{trace} of client {one.name} was answered {answer.result()['came'] - over:.3f} s after its"
                          f" time: {outcome(answer.result())}")
    if manager.exit_code() is not None:
        breaks.append("the workload manager has ended")
    record.line(f"meanwhile the workload manager used {manager.processor_s() - busy:.2f} s of processor time")
    answers = [answer for one in burst for each in one.answers.values() for answer in each]
    record.line(f"burst: {len(answers)} answers, {sum('result' in answer for answer in answers)} of them served")
    return breaks


main(play)
