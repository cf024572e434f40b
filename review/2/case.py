"""Bad clients send half a request each. The platform kills a manager that holds more than `memory_mb`."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))
from peers import *

MEMORY_MB = 32  # the page: 32 to 192 MB
SOCKETS = 1024  # the page: 256 to 1,024 descriptors
BAD_CLIENTS = 320  # with the usual ones under a third of the descriptors
USUAL_CLIENTS = 20
WAVES = 5  # "or the same again as soon as it is turned away"
HALF_REQUEST = b'{"jsonrpc":"2.0","id":1,"method":"lookup","params":{"content":"' + b"A" * (95 * 1024)


async def main(folder, record, trouble):
    channel = await Channel(record).start()
    engines = [await Engine(f"engine {i}", record, run_ms=200).start() for i in range(1, 7)]
    entries = [engine_entry(i, engine.port) for i, engine in enumerate(engines, 1)]
    settings = config(free_port(), channel.port, entries, [class_settings("lookup")],
                      limits={"memory_mb": MEMORY_MB, "sockets": SOCKETS})
    manager = Manager(settings, folder, record)
    peak_kb = 0
    killed = False
    answers = {"served": 0, "refused": 0, "failed": 0, "none": 0}

    async def watch_memory():
        """The platform: kills the manager once it holds more than `memory_mb`.

        Only private anonymous memory counts here: less than any way to measure a process's memory.
        """
        nonlocal peak_kb, killed
        while not killed:
            peak_kb = max(peak_kb, manager.memory_kb("RssAnon"))
            if peak_kb > MEMORY_MB * 1024:
                killed = True
                record.add(f"the platform kills the manager: {peak_kb} kB of private anonymous memory")
                manager.signal(signal.SIGKILL)
            await asyncio.sleep(0.002)

    async def usual_client(end):
        client = await Client.connect(manager.port)
        while now() < end and not client.ended:
            trace = new_trace()
            record.add(f"usual client sends {trace}")
            answer = await client.call("lookup", params(trace, 7500, weight=200.0))
            record.add(f"usual client gets {trace}: {kind_of(answer)}")
            answers[kind_of(answer)] += 1
            await asyncio.sleep(0.1)
        await client.close()

    def bad_clients():
        """Connect, send half a request each at full speed, and close 0.5 s later. Returns how many sent all of it."""
        connections = []
        sent = 0
        try:
            for _ in range(BAD_CLIENTS):
                connections.append(socket.create_connection(("127.0.0.1", manager.port), timeout=2))
            for connection in connections:
                connection.sendall(HALF_REQUEST)
                sent += 1
            time.sleep(0.5)
        except OSError:
            pass  # closed by the manager, or it has ended
        for connection in connections:
            connection.close()
        return sent

    try:
        if not await manager.wait_until_ready():
            record.add("the manager did not become ready")
            return 2
        record.add(f"memory at rest: {manager.memory_kb('RssAnon')} kB")
        watch = asyncio.ensure_future(watch_memory())
        usual = [asyncio.ensure_future(usual_client(now() + 8)) for _ in range(USUAL_CLIENTS)]
        await asyncio.sleep(1)
        for wave in range(1, WAVES + 1 if trouble else 0):
            sent = await asyncio.to_thread(bad_clients)
            record.add(f"wave {wave}: {sent} bad clients have sent {len(HALF_REQUEST)} bytes of half a request each; "
                       f"highest memory so far {peak_kb} kB")
            if killed:
                break
            await asyncio.sleep(0.5)
        await asyncio.gather(*usual)
        watch.cancel()
        ended = manager.process.poll()
        record.add(f"highest private anonymous memory seen: {peak_kb} kB; VmHWM: "
                   f"{manager.memory_kb('VmHWM')} kB; limit: {MEMORY_MB * 1024} kB")
        record.add(f"answers to usual clients: {answers}")
        broken = killed or ended is not None
        print(f"highest memory {peak_kb} kB of {MEMORY_MB * 1024} kB; killed: {killed}; answers: {answers}")
        return 1 if broken else 0
    finally:
        manager.end()


run_case(main)
