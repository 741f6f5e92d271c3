"""Decisions of a gradual rollout, free of I/O.

Which version of a function a request meets, and when the new one's weight grows or is taken back.
`docs/rollout.md` says why.
"""
