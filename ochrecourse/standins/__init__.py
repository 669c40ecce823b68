"""Storage nodes and a list server of our own, for tests and days."""
