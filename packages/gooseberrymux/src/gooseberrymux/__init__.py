"""Query tier over many shards: routing, limits, retries, membership, recovery."""

__version__ = "0.1.0"
