"""Package of ibisport: router."""
