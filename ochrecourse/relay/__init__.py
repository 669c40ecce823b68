"""The entry of `python -m ochrecourse.relay`; the deployed process is in ochrecourse/service."""
