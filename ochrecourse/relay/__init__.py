"""The platform's form of start, list of nodes and signals, round the gateway library."""
