"""Overload control over the fleet's statistics, free of I/O: load shedding, retry budgets, shared probing."""
