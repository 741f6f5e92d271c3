"""Scale tests: the cost of each role of the fleet by size of the fleet, measured on the production code."""
