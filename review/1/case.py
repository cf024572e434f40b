"""A usual client has a request open and writes its next one slowly on the same connection, while bad clients send
half a request each. The open request must get its answer."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))
from peers import *

MEMORY_MB = 48  # the page: 32 to 192 MB
SOCKETS = 384  # the page: 256 to 1,024 descriptors
BAD_CLIENTS = 120  # with the usual ones under a third of the descriptors
HALF_REQUEST = b'{"jsonrpc":"2.0","id":1,"method":"lookup","params":{"content":"' + b"A" * (54 * 1024)
STATEMENT = "select '" + "x" * 66000 + "' from s_1.t"  # 88 KB as a line of the protocol
PIECES = 40
PIECE_SECONDS = 0.05  # the whole line is written within 2 s
RUN_MS = 2500


async def main(folder, record, trouble):
    channel = await Channel(record).start()
    engines = [await Engine(f"engine {i}", record, run_ms=RUN_MS).start() for i in range(1, 7)]
    entries = [engine_entry(i, engine.port) for i, engine in enumerate(engines, 1)]
    settings = config(free_port(), channel.port, entries, [class_settings("lookup")],
                      limits={"memory_mb": MEMORY_MB, "sockets": SOCKETS})
    manager = Manager(settings, folder, record)
    lost = 0
    peak_kb = 0

    async def usual_client(name):
        nonlocal lost
        client = await Client.connect(manager.port)
        first, second = new_trace(), new_trace()
        record.add(f"{name} sends {first}")
        answer = client.send("lookup", params(first, 7500, weight=float(RUN_MS)))
        await client.writer.drain()
        await asyncio.sleep(0.2)
        line = client.line("lookup", params(second, 7500, statement=STATEMENT, weight=float(RUN_MS)))
        record.add(f"{name} writes {second} slowly: {len(line)} bytes in {PIECES * PIECE_SECONDS} s")
        second_answer = client.expect()
        for piece in range(PIECES):
            if client.ended:
                break
            client.writer.write(line[piece * len(line) // PIECES:(piece + 1) * len(line) // PIECES])
            await asyncio.sleep(PIECE_SECONDS)
        taken = not client.ended
        kinds = kind_of(await answer), kind_of(await second_answer)
        record.add(f"{name} gets {first}: {kinds[0]}; {second}: {kinds[1]}"
                   + ("" if taken else " (its connection ended before it was written)"))
        lost += (kinds[0] == "none") + (taken and kinds[1] == "none")
        await client.close()

    async def bad_client():
        """Sends half a request at full speed, and closes 2 s later."""
        try:
            _, writer = await asyncio.open_connection("127.0.0.1", manager.port)
            writer.write(HALF_REQUEST)
            await asyncio.sleep(2)
            writer.close()
        except OSError:
            pass

    try:
        if not await manager.wait_until_ready():
            record.add("the manager did not become ready")
            return 2
        usual = [asyncio.ensure_future(usual_client(f"usual client {i}")) for i in range(1, 6)]
        await asyncio.sleep(1.6)
        bad = []
        if trouble:
            record.add(f"{BAD_CLIENTS} bad clients send {len(HALF_REQUEST)} bytes of half a request each")
            bad = [asyncio.ensure_future(bad_client()) for _ in range(BAD_CLIENTS)]
        end = now() + 1
        while now() < end:
            peak_kb = max(peak_kb, manager.memory_kb("RssAnon"))
            await asyncio.sleep(0.01)
        await asyncio.gather(*usual, *bad)
        for line in manager.log_path.read_text().splitlines():
            if "backlog_exceeded" in line:
                record.add(f"manager's log: {line}")
        sent = {request.trace for engine in engines for request in engine.requests}
        record.add(f"engines got {len(sent)} requests; highest private memory {peak_kb} kB of {MEMORY_MB * 1024} kB")
        if manager.process.poll() is not None:
            record.add("the manager has ended")
            return 1
        print(f"{lost} requests got no answer; highest memory {peak_kb} kB of {MEMORY_MB * 1024} kB")
        return 1 if lost else 0
    finally:
        manager.end()


run_case(main)
