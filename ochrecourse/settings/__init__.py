"""Settings files: grammar, schema, validation, and resolution to plain values."""
