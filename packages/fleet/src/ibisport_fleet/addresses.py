"""Where a peer listens."""

# IP number and port.
Address = tuple[str, int]
