"""Network addresses of routers, targets and stores."""

# IP address and port.
Address = tuple[str, int]
