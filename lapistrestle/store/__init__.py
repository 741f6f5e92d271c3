"""Storage that survives a kill at any byte: a journal, and small files replaced atomically."""
