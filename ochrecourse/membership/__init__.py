"""What the gateway knows of the list of storage nodes, and how it hears of changes."""
