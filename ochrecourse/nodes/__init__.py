"""The client side of the storage nodes' protocol."""
