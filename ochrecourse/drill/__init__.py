"""The adapter that lets the simulator drill the decisions over its wire."""
