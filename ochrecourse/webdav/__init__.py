"""The WebDAV door: requests to jobs, namespace, locks and preconditions, without I/O."""
