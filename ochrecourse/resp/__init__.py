"""RESP2, the platform's protocol: connections of clients and connections to nodes."""
