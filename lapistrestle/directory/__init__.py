"""The directory of instances: which instances a function has, in shards that dispatchers watch."""
