"""`python -m lapistrestle.benchlink`: batches on standard input, replies on standard output."""

import sys

from lapistrestle.benchlink.wire import Malformed, serve

if __name__ == "__main__":
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except Malformed as trouble:
        sys.exit(f"benchlink: {trouble}")
