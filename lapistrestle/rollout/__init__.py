"""Decisions of a gradual rollout, free of I/O.

They choose the version of a function for each request, and decide when the weight of a new version grows or
the rollout is rolled back. `docs/rollout.md` gives the reasons.
"""
