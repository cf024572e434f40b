"""Bad clients send lines that cannot be read; usual clients must get their final answers in time."""
import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib-3"))
import standins as s  # noqa: E402

BAD_CLIENTS = 200  # "connect by hundreds"; with the usual ones below a third of 1,024 descriptors
UNREADABLE = b"\n" * 65536  # "what can't be read": 64 KiB of empty lines, sent at full speed
PATIENCE_MS = 2000
SLACK_S = 0.5 + 0.05  # half a second after its time, and 50 ms on every time limit
QUIET_S, BUSY_S = 2.0, 6.0


async def bad_client(port, record, number):
    """Sends what cannot be read, and the same again as soon as it is turned away; reads what it is sent."""
    for _ in range(2):
        began = time.time()
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(UNREADABLE)
            data = await asyncio.wait_for(reader.read(4096), 30)
            if number % 50 == 0:
                record.write(f"bad client {number}: after {time.time() - began:.2f} s got {data[:60]!r}")
            writer.close()
        except (OSError, asyncio.TimeoutError):
            pass


async def usual_client(client, seconds):
    end = time.time() + seconds
    while time.time() < end:
        client.send("lookup", PATIENCE_MS, "SELECT depth FROM soundings_3.points")
        await asyncio.sleep(0.25)


async def own_lag(worst):
    """How late this event loop is: the stand-ins must not be what is slow."""
    while True:
        began = time.time()
        await asyncio.sleep(0.02)
        worst[0] = max(worst[0], time.time() - began - 0.02)


async def case(record, disturbed):
    engines = [s.Engine(f"e{i}", record, lambda attempt: 0.05) for i in range(3)]
    for engine in engines:
        await engine.start()
    channel = s.Channel(record)
    await channel.start()
    port = s.free_port()
    classes = [s.class_of("lookup", "pure", 1000, PATIENCE_MS)]
    config = s.config_for(classes, [e.port for e in engines], port, channel.port, sockets=1024, memory_mb=192)
    manager = s.Manager(config, record)
    try:
        manager.start()
        await manager.wait_ready()
        clients = [s.Client(f"u{i}", record, port) for i in range(8)]
        for client in clients:
            await client.connect()
        worst = [0.0]
        lag = asyncio.ensure_future(own_lag(worst))
        tasks = [asyncio.ensure_future(usual_client(client, QUIET_S + BUSY_S)) for client in clients]
        await asyncio.sleep(QUIET_S)
        record.write(f"{BAD_CLIENTS if disturbed else 0} bad clients")
        bad = [asyncio.ensure_future(bad_client(port, record, i))
               for i in range(BAD_CLIENTS if disturbed else 0)]
        await asyncio.gather(*tasks)
        requests = [request for client in clients for request in client.requests.values()]
        await asyncio.wait([request.answered for request in requests], timeout=30)
        for task in bad:
            task.cancel()
        lag.cancel()
        record.write(f"{len(requests)} usual requests; the stand-ins were at most {worst[0]:.3f} s late")
        if worst[0] > 0.25:
            raise s.CannotRun(f"the stand-ins were {worst[0]:.2f} s late themselves")
        if manager.process.poll() is not None:
            return ["the manager ended"]
        late = []
        for request in requests:
            after = request.answers[0][0] - request.written - PATIENCE_MS / 1000 if request.answers else None
            if len(request.answers) != 1 or after > SLACK_S:
                late.append(after)
                what = (f"{len(request.answers)} answers, the first {after:.2f} s after its time "
                        f"({request.answers[0][1]})" if request.answers else "no answer")
                record.write(f"lost: {request.trace}: {what}")
        if not late:
            return []
        return [f"{len(late)} of {len(requests)} usual requests had no final answer half a second after their "
                f"time; the latest came {max(x if x is not None else 99 for x in late):.2f} s after it"]
    finally:
        manager.end()


s.run_case(case, FOLDER)
