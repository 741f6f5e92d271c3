"""The edge process: hosts the decision module and carries out its decisions over the network."""
