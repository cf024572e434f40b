"""Half requests of other clients, and whether a client's whole request gets its answer in time."""
from rig import *

PATIENCE_MS = 250  # 42% of the wanted time below
SLACK_S = 0.5 + 0.05  # STANDING: half a second; PROTOCOL: every time limit is 50 ms longer


async def play(record, managers):
    channel = await Channel(record).start()
    engines = [await Engine(record, number + 1).start() for number in range(6)]
    classes = [{**request_class("lookup", "pure", 3000), "aim_ns": 600000000}]
    manager = Manager(record, configuration(free_port(), channel, engines, classes, memory_mb=32, sockets=256))
    managers.append(manager)
    await manager.start()
    clients = [await Client(record, f"c{number}").connect(manager.port) for number in range(3)]
    for client in clients:
        await client.ask("lookup", 2500)
    bad = []
    if trouble():
        bad = await asyncio.gather(*(HalfRequest().connect(manager.port) for _ in range(60)))
        record.line("60 bad clients have each written half a request of 4 KB")
    await asyncio.sleep(0.02)
    statement = b"SELECT 1 FROM a_1.b WHERE c IN (" + b"'wreck'," * 750 + b"'buoy')"
    sent = [client.send("lookup", PATIENCE_MS, statement) for client in clients]
    await asyncio.sleep(4)
    breaks = []
    for client, (_, trace, written, answer) in zip(clients, sent):
        over = written + PATIENCE_MS / 1000
        if not answer.done() or answer.result() is None:
            breaks.append(f"{trace} of client {client.name} has no answer")
        elif answer.result()["came"] > over + SLACK_S:
            breaks.append(f"{trace} of client {client.name} was answered {answer.result()['came'] - over:.3f} s after"
                          f" its time: {outcome(answer.result())}")
    if manager.exit_code() is not None:
        breaks.append("the workload manager has ended")
    del bad
    return breaks


main(play)
