"""The directory of instances: which instances serve a function, in shards that dispatchers watch."""
