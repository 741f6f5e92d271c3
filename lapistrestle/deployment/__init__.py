"""Deployment files: reading, validation and conversion to the settings of the decision module."""
