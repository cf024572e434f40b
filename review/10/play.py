"""Half requests of other clients, and whether the requests of one key run in the order in which they were taken."""
from rig import *

APART_S = 0.15  # PROTOCOL: requests with the same key are written no less than 60 ms apart


async def play(record, managers):
    channel = await Channel(record).start()
    engines = [await Engine(record, number + 1, work_ms=100).start() for number in range(6)]
    classes = [request_class("lookup", "pure", 7500),
               request_class("load", "token", 25000, key_scope="all", key_ttl_ns=25000000000, in_turn=True)]
    manager = Manager(record, configuration(free_port(), channel, engines, classes, memory_mb=32, sockets=256))
    managers.append(manager)
    await manager.start()
    one, two = [await Client(record, name).connect(manager.port) for name in ("one", "two")]
    for client in (one, two):
        await client.ask("lookup", 6000)
    bad = []
    if trouble():
        bad = await asyncio.gather(*(HalfRequest().connect(manager.port) for _ in range(60)))
        record.line("60 bad clients have each written half a request of 4 KB")
    await asyncio.sleep(0.02)
    key = f"{random.getrandbits(64):016x}"
    first = one.send("load", 22000, b"INSERT INTO a_1.depths VALUES " + b"(1,17.5)," * 700 + b"(1,17.5)", entity=key,
                     nonce=f"{random.getrandbits(128):032x}")
    await asyncio.sleep(APART_S)
    second = two.send("load", 22000, b"INSERT INTO a_1.depths VALUES (1,12.0)", entity=key,
                      nonce=f"{random.getrandbits(128):032x}")
    await asyncio.wait([first[3], second[3]], timeout=20)
    came = {attempt.trace: attempt.came for engine in engines for attempt in reversed(engine.attempts)}
    answered = first[3].result() if first[3].done() else None  # "A refusal or a failure may come out of turn."
    over = answered["came"] if answered is not None else float("inf")
    breaks = []
    if second[1] in came and came[second[1]] < min(came.get(first[1], float("inf")), over):
        breaks.append(f"key {key}: {first[1]} was written {second[2] - first[2]:.3f} s before {second[1]}, and sent"
                      f" {came.get(first[1], float('inf')) - came[second[1]]:.3f} s after it")
    if second[1] not in came:
        raise CouldNotRun("the second request was not sent")
    del bad
    return breaks


main(play)
