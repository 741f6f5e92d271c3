"""Scale tests: what each role of the fleet costs as the fleet grows, measured on the program's own code."""
