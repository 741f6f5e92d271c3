"""Bad clients, as a process of their own: `crowd.py PORT CLIENTS SECONDS`.

Each sends hundreds of requests at once, for a class that does not exist, reads all that it is sent, and sends
the same again as soon as all of them were turned away. Where its connection ends it makes another. The last
line of output says how many requests were turned away.
"""

import socket
import sys
import threading
import time

from client import END, RECORD, request_bytes

AT_ONCE = 300  # requests of one client


def burst(client: int) -> bytes:
    """The requests that one client sends at once."""
    parts = []
    for index in range(AT_ONCE):
        fields = {
            "SCRIPT_NAME": "/invoke/nosuch",
            "HTTP_X_CALL_ID": f"{client * AT_ONCE + index:016x}",
            "HTTP_X_PATIENCE_MS": "2000",
            "HTTP_X_ENTITY": f"{index % 40:016x}",
        }
        parts.append(request_bytes(1 + index, fields, b"x"))
    return b"".join(parts)


def answered(buffer: bytearray) -> int:
    """Take whole records from the buffer. Returns how many requests they end."""
    at = ends = 0
    while len(buffer) - at >= RECORD.size:
        _, kind, _, size, padding, _ = RECORD.unpack_from(buffer, at)
        if len(buffer) < at + RECORD.size + size + padding:
            break
        ends += kind == END
        at += RECORD.size + size + padding
    del buffer[:at]
    return ends


def one_round(sock: socket.socket, data: bytes) -> int:
    """Send a burst while its answers are read. Returns how many came; fewer if the connection ended."""
    sender = threading.Thread(target=send, args=(sock, data))
    sender.start()
    count, buffer = 0, bytearray()
    while count < AT_ONCE:
        received = sock.recv(1 << 16)
        if not received:
            break
        buffer += received
        count += answered(buffer)
    sender.join()
    return count


def send(sock: socket.socket, data: bytes) -> None:
    """Send all, unless the connection ends."""
    try:
        sock.sendall(data)
    except OSError:
        return


def run(port: int, client: int, end: float, counts: list[int]) -> None:
    """One client, until the end."""
    data = burst(client)
    while time.monotonic() < end:
        try:
            with socket.create_connection(("127.0.0.1", port), 5) as sock:
                while time.monotonic() < end and one_round(sock, data) == AT_ONCE:
                    counts[client] += AT_ONCE
        except OSError:
            time.sleep(0.01)


def main() -> None:
    """Run all clients."""
    port, clients, seconds = int(sys.argv[1]), int(sys.argv[2]), float(sys.argv[3])
    counts = [0] * clients
    end = time.monotonic() + seconds
    threads = [threading.Thread(target=run, args=(port, client, end, counts)) for client in range(clients)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    print(sum(counts))


if __name__ == "__main__":
    main()
