"""Coordination of the gateways of a fleet: a replicated event log, peer links and their subsystems."""
