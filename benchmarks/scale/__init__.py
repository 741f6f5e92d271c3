"""Scale tests: the cost of each role of the fleet by size of the fleet, measured on the production code.

"Control" is the control plane: everything but the calls themselves, such as lists, gossip, plans and watches.
"""
