"""Measurements, as ratios in one run. Each module is run by itself: `python -m benchmarks.cost`."""
