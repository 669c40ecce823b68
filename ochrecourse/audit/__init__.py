"""Judges the rules of a run from what both ends of its connections recorded."""
