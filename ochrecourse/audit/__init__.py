"""Judges the seven rules from what both ends of the sockets recorded."""
