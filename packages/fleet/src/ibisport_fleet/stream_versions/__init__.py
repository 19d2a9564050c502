"""Keeps each stream at the software version of the target that began it."""
