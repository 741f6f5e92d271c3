"""Runs the project's programs as processes; each writes its port to a file."""

import signal
import socket
import subprocess
import sys
import time
from pathlib import Path


def free_tcp_ports(count: int) -> list[int]:
    """Distinct TCP ports at which nothing listens now."""
    sockets = [socket.socket() for _ in range(count)]
    for each in sockets:
        each.bind(("127.0.0.1", 0))
    ports: list[int] = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return ports


class ChildProcess:
    """`lapistrestle ARGS --tell-port FILE` as a separate process."""

    def __init__(self, folder: Path, name: str, *args: str) -> None:
        self.name, self.args = name, args
        self.port_file = folder / f"{name}-{time.monotonic_ns()}.port"
        self.log = self.port_file.with_suffix(".log")
        self.process: subprocess.Popen[bytes] | None = None
        self.known_port = 0

    def start(self) -> None:
        command = [sys.executable, "-m", "lapistrestle", *self.args, "--tell-port", str(self.port_file)]
        with self.log.open("wb") as log:
            self.process = subprocess.Popen(command, stdout=log, stderr=log)

    def port(self) -> int:
        """The port where it listens; 0 until it has written that to its file, and once it has ended."""
        if not self.known_port and self.port_file.exists():
            self.known_port = int(self.port_file.read_text() or 0)
        return self.known_port if self.process is not None else 0

    def wait_port(self, seconds: float = 20.0) -> int:
        """Waits until it listens. Raises RuntimeError with the end of its log if it does not."""
        until = time.monotonic() + seconds
        while not self.port():
            if time.monotonic() > until or (self.process is not None and self.process.poll() is not None):
                raise RuntimeError(f"{self.name} did not start:\n{self.log.read_text()[-2000:]}")
            time.sleep(0.02)
        return self.known_port

    def send_signal(self, number: int) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def stall(self) -> None:
        self.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        self.send_signal(signal.SIGCONT)

    def kill(self) -> None:
        self.send_signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()
        self.process = None

    def stop(self) -> int | None:
        """Terminates it and returns its exit status; kills it if it does not end within ten seconds."""
        child, self.process = self.process, None
        if child is None:
            return None
        child.send_signal(signal.SIGCONT)
        child.send_signal(signal.SIGTERM)
        try:
            return child.wait(10)
        except subprocess.TimeoutExpired:
            child.kill()
            return child.wait()

    def log_lines(self) -> list[str]:
        """Lines that it has logged so far."""
        return self.log.read_text(errors="replace").splitlines() if self.log.exists() else []
