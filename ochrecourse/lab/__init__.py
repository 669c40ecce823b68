"""The emulated network, load, scripted days and their reports."""
