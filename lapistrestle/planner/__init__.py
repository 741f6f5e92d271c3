"""The planner of rollouts: its journal entries, the state built from them, and its connections."""
