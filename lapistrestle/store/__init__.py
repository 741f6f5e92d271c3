"""Storage that survives a kill at any byte."""
