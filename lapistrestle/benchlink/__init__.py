"""The adapter between the bench's wire and the decision module. It translates and decides nothing."""
