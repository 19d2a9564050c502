"""Package of ibisport: core."""
