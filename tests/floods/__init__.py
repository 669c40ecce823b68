"""Programs beside a gateway process: storage nodes, bad clients and usual clients, each a process of its own."""
