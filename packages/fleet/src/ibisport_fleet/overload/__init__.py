"""Bounds on what a process holds for the peers that connect to it."""
