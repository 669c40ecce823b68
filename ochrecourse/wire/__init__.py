"""The framed protocol between gateways, storage nodes, list servers and clients, and an HTTP client."""
