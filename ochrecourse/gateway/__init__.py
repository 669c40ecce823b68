"""The library: one host's decisions, fed from sockets and carried out on them."""
