"""Connections to programs whose lists are followed, and the numbering of these lists."""
