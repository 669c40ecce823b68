"""Entry point of `python -m ochrecourse.relay`; the service itself is in ochrecourse/service."""
