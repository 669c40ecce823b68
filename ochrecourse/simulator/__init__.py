"""The adapter that lets the simulator ask the scheduler over its wire."""
