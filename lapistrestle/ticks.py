"""The unit of time: a tick is a tenth of a millisecond (100 microseconds).

All times and durations in decisions are whole ticks on the host's clock. The constants are in ticks unless
they say otherwise.
"""

from typing import Final

MILLISECOND: Final = 10
SECOND: Final = 1_000 * MILLISECOND
MINUTE: Final = 60 * SECOND
MICROSECONDS: Final = 100  # per tick
NEVER: Final = 2**62  # a tick that is never reached
