"""The RESP2 entrance and exit: clients' and nodes' connections in the platform's protocol."""
