"""The line protocols: message types, framing, limits, versions. Nothing here decides."""
