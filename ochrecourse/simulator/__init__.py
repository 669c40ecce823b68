"""Adapter that lets the simulator drive the scheduler over the simulator's wire protocol."""
