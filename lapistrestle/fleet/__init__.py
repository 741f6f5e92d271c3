"""Coordination among dispatchers: SWIM membership, gossiped counters, and leases of shared quotas."""
