"""lapistrestle: a dispatcher for many small functions that share a fleet of workers."""
