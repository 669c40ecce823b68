"""Connections to storage nodes: dialling, pooling, attempts, and the outcome of each attempt."""
