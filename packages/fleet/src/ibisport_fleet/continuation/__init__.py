"""Continues requests whose target has ended, was cut off, or went silent."""
