"""Wire formats: message types, framing, limits and protocol versions, free of decisions."""
