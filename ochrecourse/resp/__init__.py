"""RESP2, the platform's protocol: client connections and connections to nodes."""
