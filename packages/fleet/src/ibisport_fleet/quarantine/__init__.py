"""Stops sending what crashes targets."""
