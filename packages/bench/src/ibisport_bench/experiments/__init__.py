"""Deterministic experiments on single policies, in virtual time."""
