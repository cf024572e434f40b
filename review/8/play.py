"""Bad clients that send what cannot be read at full speed, and whether usual requests are answered in time."""
from rig import *

MEMORY_MB, SOCKETS = 192, 1024  # DAYS: 32 to 192 MB, 256 to 1,024 descriptors
BAD_CLIENTS = 300  # PROTOCOL: no more than a third of the descriptors
UNREADABLE = b"\n" * 65536
PATIENCE_MS = 2000  # kochi-signing: a try is given up after 80 to 100% of the class's 2.5 s
SLACK_S = 0.55  # STANDING: half a second after its time; PROTOCOL: every time limit is 50 ms longer
QUIET_S, BUSY_S = 1.0, 2.0  # usual clients write before the bad ones come, and from then on


async def be_bad(record, port, number):
    """Sends what cannot be read, once, and reads what it is sent; leaves after the 3 s in which it is owed that."""
    began = time.time()
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        writer.write(UNREADABLE)
        data = await asyncio.wait_for(reader.read(4096), 3)
    except (OSError, asyncio.TimeoutError):
        return
    finally:
        writer.close()
    if number % 50 == 0:
        record.line(f"bad client {number} read {data[:80]} after {time.time() - began:.2f} s")


async def use(client, sent, until):
    while time.time() < until:
        sent.append((client, client.send("lookup", PATIENCE_MS, weight=50.0)))
        await asyncio.sleep(0.25)


async def watch_own_lag(lags):
    """Usual clients, bad ones and engines share an event loop, which must not be what is late."""
    while True:
        began = time.time()
        await asyncio.sleep(0.02)
        lags.append(time.time() - began - 0.02)


def late_ones(record, sent):
    late = []
    for client, (number, trace, written, _) in sent:
        answers = client.answers.get(number, [])
        after = answers[0]["came"] - written - PATIENCE_MS / 1000 if answers else float("inf")
        if len(answers) != 1 or after > SLACK_S:
            late.append(after)
            record.line(f"{trace} of client {client.name}: {len(answers)} answers, the first one {after:.2f} s after its"
                        " time")
    return late


async def play(record, managers):
    channel = await Channel(record).start()
    engines = [await Engine(record, number + 1, work_ms=50).start() for number in range(4)]
    classes = [request_class("lookup", "pure", 2500), request_class("report", "pure", 25000)]
    manager = Manager(record, configuration(free_port(), channel, engines, classes, MEMORY_MB, SOCKETS))
    managers.append(manager)
    await manager.start()
    usual = [await Client(record, f"c{number}").connect(manager.port) for number in range(8)]
    sent, lags = [], []
    asyncio.get_running_loop().create_task(watch_own_lag(lags))
    using = [use(one, sent, time.time() + QUIET_S + BUSY_S) for one in usual]
    using = [asyncio.get_running_loop().create_task(one) for one in using]
    await asyncio.sleep(QUIET_S)
    if trouble():
        record.line(f"{BAD_CLIENTS} bad clients write {len(UNREADABLE)} empty lines each")
        bad = [be_bad(record, manager.port, number) for number in range(BAD_CLIENTS)]
        bad = [asyncio.get_running_loop().create_task(one) for one in bad]
    await asyncio.gather(*using)
    await asyncio.wait([answer for _, (_, _, _, answer) in sent], timeout=40)
    record.line(f"{len(sent)} usual requests; the stand-ins were {max(lags):.2f} s late at most")
    if max(lags) > 0.3:
        raise CouldNotRun("the stand-ins were late themselves")
    if manager.exit_code() is not None:
        return ["the workload manager has ended"]
    late = late_ones(record, sent)
    return [f"{len(late)} of {len(sent)} usual requests had no final answer {SLACK_S} s after their time; the latest"
            f" came {max(late):.2f} s after it"] if late else []


main(play)
