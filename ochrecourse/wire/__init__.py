"""The framing and messages that gateways, storage nodes, list servers and clients speak."""
