"""The host of the decision module, independent of the transport."""
