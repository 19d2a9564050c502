"""Sends routers the load of engines, as the relays on the engines' hosts see it."""
