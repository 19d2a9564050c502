"""Small stand-ins for the platform: store, engine, service, hosts, weights."""
