"""Crash-safe files and journals, and the threads and locks that they are written under."""
