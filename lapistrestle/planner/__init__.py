"""The program that plans rollouts: its journal's entries, the state they make, and what it sends edges."""
