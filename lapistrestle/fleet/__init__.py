"""Dispatchers among themselves: SWIM membership, gossiped counters, and leases of shared quotas."""
