"""One host's gateway: reports to the scheduler, decisions carried out, and the daemon round them."""
