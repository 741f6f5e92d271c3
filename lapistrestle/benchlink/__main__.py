"""`python -m lapistrestle.benchlink`: batches on standard input, replies on standard output."""

import sys

from lapistrestle.benchlink.wire import MalformedBatchError, serve

if __name__ == "__main__":
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except MalformedBatchError as error:
        sys.exit(f"benchlink: {error}")
