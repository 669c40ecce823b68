"""The gateway as a service on the platform: start file, service discovery, signals, start and shutdown."""
