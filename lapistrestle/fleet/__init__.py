"""Dispatchers among themselves: who is there, what they tell one another, allowances within a whole."""
