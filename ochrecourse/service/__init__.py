"""The deployed process: its start file, service discovery and signals."""
