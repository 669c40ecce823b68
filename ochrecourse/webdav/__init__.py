"""The WebDAV server (RFC 4918). All modules but `server` are free of I/O."""
