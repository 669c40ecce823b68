"""Settings as typed records: grammar, checker, resolved values."""
