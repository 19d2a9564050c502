"""Stand-ins for the platform's store, engine, service, hosts and weights."""
