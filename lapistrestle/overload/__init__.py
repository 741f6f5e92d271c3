"""Who sheds what, budgets of repeats, who probes whom: decisions over the fleet's figures, free of I/O."""
