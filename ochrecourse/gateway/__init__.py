"""The gateway of one host: executes the scheduler's decisions, serves clients, and runs as a daemon."""
