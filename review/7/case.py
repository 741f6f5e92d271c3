"""Six in ten of 3,200 runners are replaced within 7 s while one web server sends a few requests a second."""

import asyncio
import random
import resource
import time
from pathlib import Path

import rig

FOLDER = Path(__file__).parent
RUNNERS = 3_200  # the page: 3,200 at most
REPLACED = RUNNERS * 6 // 10  # the page: six in ten
WITHIN_S = 7.0  # the page: within 7 s
RATE = 10  # requests a second: a dispatcher of such a fleet sees little traffic
FUNCTIONS = 10
PATIENCE_MS = 3_000  # the page: 50 to 100% of the deadline of `search`, 4 s
BEFORE_S = 5.0
PORT = 20_001


class Fleet:
    """All runners, each at an address of its own, and their replacements."""

    def __init__(self, record: rig.Record) -> None:
        self.record = record
        self.hosts = [f"127.1.{number >> 8}.{number & 255}" for number in range(1, RUNNERS + 1)]
        self.runners: dict[str, rig.Runner] = {}
        self.numbers = {host: number for number, host in enumerate(self.hosts, 1)}

    async def start(self) -> None:
        """Listen at all addresses."""
        hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
        resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
        await asyncio.start_server(self.serve, self.hosts, PORT, limit=1 << 20)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve a connection to one of them."""
        await self.at(writer.get_extra_info("sockname")[0]).serve(reader, writer)

    def at(self, host: str) -> rig.Runner:
        """The runner at this address."""
        if host not in self.runners:
            self.runners[host] = rig.Runner(self.record, self.numbers[host], host)
        return self.runners[host]

    def row(self, host: str, state: int = rig.SERVING, started: int = 0) -> bytes:
        """The record of the runner at this address."""
        return rig.row(
            self.numbers[host], (host, PORT), state, cell=self.numbers[host] % 800, started=started
        )

    async def replace(self, board: rig.Board, host: str) -> None:
        """Drain a runner, end it, and start another at its address."""
        board.publish(2, self.row(host, rig.DRAINING))
        await asyncio.sleep(1)
        gone = self.runners.pop(host, None)
        for writer in list(gone.writers) if gone else []:
            writer.transport.abort()
        board.publish(2, self.row(host, rig.GONE))
        self.numbers[host] += 10_000
        board.publish(2, self.row(host, started=int(time.time() * 1000)))

    async def churn(self, board: rig.Board, draw: random.Random) -> None:
        """Replace six in ten, evenly over the time."""
        began, tasks = time.monotonic(), []
        for count, host in enumerate(draw.sample(self.hosts, REPLACED)):
            await asyncio.sleep(max(0, began + count * (WITHIN_S - 1) / REPLACED - time.monotonic()))
            tasks.append(asyncio.create_task(self.replace(board, host)))
        await asyncio.gather(*tasks)
        self.record.write("churn over", took=round(time.monotonic() - began, 2), events=board.last)


async def ask(record: rig.Record, node: rig.Node, draw: random.Random) -> list[rig.Answer]:
    """Send requests until the runners have been replaced, and wait until the last has had its time."""
    answers, servers = list[rig.Answer](), [await rig.WebServer(record, node.address).connect()]
    began = time.monotonic()
    while (now := time.monotonic() - began) < BEFORE_S + WITHIN_S:
        if len(servers[-1].open) > 30:  # the page: up to 32 open on a connection
            servers.append(await rig.WebServer(record, node.address).connect())
        function = f"{draw.randrange(FUNCTIONS):016x}"
        fields = rig.fields_of(f"{draw.getrandbits(64):016x}", function, PATIENCE_MS)
        answers.append(servers[-1].send("/invoke/search", fields))
        await asyncio.sleep(max(0, len(answers) / RATE - now))
    await asyncio.sleep(PATIENCE_MS / 1000 + 2 * rig.LOST_AFTER_S)
    return answers


async def case(record: rig.Record, trouble: bool) -> int:
    """Return 1 if a request had no final answer half a second after its time."""
    draw, lag = random.Random(7), rig.Lag()
    board, fleet = rig.Board(record), Fleet(record)
    await board.start()
    await fleet.start()
    board.publish(1, *(fleet.row(host) for host in fleet.hosts))
    node = rig.Node(record, f"127.0.0.1:{board.port}", settings=rig.settings(balancers=200))
    try:
        await node.start(FOLDER / "dispatcher.log")
        asking = asyncio.create_task(ask(record, node, draw))
        await asyncio.sleep(BEFORE_S)
        if trouble:
            await fleet.churn(board, random.Random(70))
        answers = await asking
    finally:
        await node.end()
    return rig.judge(record, answers, PATIENCE_MS, lag)


rig.main(FOLDER, case)
