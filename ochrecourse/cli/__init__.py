"""The command line and the daemon."""
