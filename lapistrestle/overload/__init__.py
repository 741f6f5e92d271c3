"""Overload control by the fleet's statistics, free of I/O: load shedding, retry budgets, shared probing."""
