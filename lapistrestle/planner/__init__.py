"""The program that plans: what it keeps, and what it tells edges."""
