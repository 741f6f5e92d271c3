"""The unit of time of the decision module: a tick is a tenth of a millisecond.

All times and durations that cross the module's border are whole ticks on the host's clock.
"""

from typing import Final

MILLISECOND: Final = 10
SECOND: Final = 1_000 * MILLISECOND
MICROSECONDS: Final = 100  # in a tick
