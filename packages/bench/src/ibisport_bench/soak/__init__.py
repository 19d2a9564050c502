"""Seeded faults against routers and relays as separate processes."""
