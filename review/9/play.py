"""A client that sends much and goes while its first request waits for its turn, with half requests of other clients."""
from rig import *

GRACE_S = 0.1 + 0.05  # STANDING: 0.1 s; PROTOCOL: every time limit is 50 ms longer


def run_long(attempt):
    """The engines do not end the reports of the bad clients while the case runs."""
    return attempt.fields["kind"] == "report"


async def play(record, managers):
    channel = await Channel(record).start()
    engines = [await Engine(record, number + 1, work_ms=900, on_request=run_long).start() for number in range(6)]
    classes = [request_class("lookup", "pure", 7500), request_class("report", "pure", 15000),
               request_class("load", "token", 25000, key_scope="all", key_ttl_ns=25000000000, in_turn=True)]
    manager = Manager(record, configuration(free_port(), channel, engines, classes, memory_mb=32, sockets=256))
    managers.append(manager)
    await manager.start()
    first, leaver = [await Client(record, name).connect(manager.port) for name in ("first", "leaver")]
    bad = []
    if trouble():
        askers = [await Client(record, f"bad{number}").connect(manager.port) for number in range(8)]
        for asker in askers:
            asker.send("report", 14000, b"SELECT 1 FROM a_2.b")
        await asyncio.sleep(0.05)
        bad = await asyncio.gather(*(HalfRequest().connect(manager.port) for _ in range(52)))
        for asker in askers:
            asker.write_half_and_close(HalfRequest.HALF)
        record.line("60 bad clients have each written half a request of 4 KB, 8 of them behind a whole one")
    await asyncio.sleep(0.05)
    key = f"{random.getrandbits(64):016x}"
    first.send("load", 22000, b"INSERT INTO a_1.depths VALUES (1,17.5)", entity=key,
               nonce=f"{random.getrandbits(128):032x}", weight=900.0)
    await asyncio.sleep(0.1)
    waiting = leaver.send("load", 22000, b"INSERT INTO a_1.depths VALUES (1,12.0)", entity=key,
                          nonce=f"{random.getrandbits(128):032x}", weight=900.0)
    await asyncio.sleep(0.1)
    for _ in range(3):
        leaver.writer.write(leaver.line("lookup", 7000, b"SELECT 1 FROM a_1.b WHERE c IN (" + b"'wreck'," * 7500
                                        + b"'buoy')")[2])
    if leaver.writer.transport.get_write_buffer_size() > 0:
        raise CouldNotRun("the lookups could not be written at once")
    leaver.writer.transport.abort()
    await asyncio.sleep(0.01)
    left = time.time()
    record.line("client leaver wrote three lookups of 80 KB and closed its connection")
    await asyncio.sleep(4)
    breaks = []
    for engine in engines:
        for attempt in engine.attempts:
            if attempt.trace == waiting[1] and attempt.came > left + GRACE_S:
                breaks.append(f"an attempt of {attempt.trace} began {attempt.came - left:.3f} s after its client had gone")
    if manager.exit_code() is not None:
        breaks.append("the workload manager has ended")
    return breaks


main(play)
