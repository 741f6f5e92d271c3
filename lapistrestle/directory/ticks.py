"""Times of the directory: whole ticks, a tenth of a millisecond each."""

MILLISECOND = 10  # ticks
SECOND = 10_000  # ticks
NEVER = 2**62  # a time that does not come
