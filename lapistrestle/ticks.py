"""The program's unit of time: a tick is a tenth of a millisecond.

All times and durations that decisions take and give are whole ticks on the host's clock.
"""

from typing import Final

MILLISECOND: Final = 10
SECOND: Final = 1_000 * MILLISECOND
MINUTE: Final = 60 * SECOND
MICROSECONDS: Final = 100  # in a tick
NEVER: Final = 2**62  # a time that does not come
