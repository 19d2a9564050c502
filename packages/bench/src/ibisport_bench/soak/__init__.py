"""Soak test: seeded faults against routers and relays in separate processes."""
