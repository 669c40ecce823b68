"""Storage nodes, list servers, a key registry, a BGP peer and a fault proxy for tests and simulations."""
