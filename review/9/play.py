"""Half requests of other clients, and whether a client's whole request gets its answer in time."""
from rig import *

DEADLINE_MS = 2500  # kochi-signing, lookup: given up after 2.5 s
PATIENCE_MS = 2000  # a try is given up after 80 to 100% of that
SLACK_S = 0.5 + 0.05  # STANDING: half a second; PROTOCOL: every time limit is 50 ms longer
BAD_CLIENTS = 300


def run_long(attempt):
    """The engines do not end a report while the case runs."""
    return attempt.fields["kind"] == "report"


async def play(record, managers):
    channel = await Channel(record).start()
    engines = [await Engine(record, number + 1, on_request=run_long).start() for number in range(17)]
    classes = [{**request_class("lookup", "pure", DEADLINE_MS), "aim_ns": 500000000},
               request_class("report", "pure", 25000)]
    manager = Manager(record, configuration(free_port(), channel, engines, classes, memory_mb=32, sockets=1024))
    managers.append(manager)
    await manager.start()
    clients = [await Client(record, f"c{number}").connect(manager.port) for number in range(3)]
    for client in clients:
        await client.ask("lookup", PATIENCE_MS)
        client.send("report", 22000, weight=4000.0)
    if trouble():
        bad = [await Client(record, f"bad{number}").connect(manager.port) for number in range(BAD_CLIENTS)]
        asked = {one.send("report", 22000, weight=4000.0)[1] for one in bad}
        for _ in range(200):  # all of them are to run before the halves come
            if asked <= {attempt.trace for engine in engines for attempt in engine.attempts}:
                break
            await asyncio.sleep(0.05)
        else:
            raise CouldNotRun("not all requests of the bad clients came to an engine")
        await asyncio.sleep(0.3)
        for one in bad:
            one.write_half_and_close(HalfRequest.HALF)
        record.line(f"{BAD_CLIENTS} bad clients have each written 4 KB of a second request, and no more")
    await asyncio.sleep(0.02)
    statement = b"SELECT 1 FROM a_1.b WHERE c IN (" + b"'wreck'," * 750 + b"'buoy')"
    sent = [client.send("lookup", PATIENCE_MS, statement) for client in clients]
    await asyncio.sleep(6)
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
    return breaks


main(play)
