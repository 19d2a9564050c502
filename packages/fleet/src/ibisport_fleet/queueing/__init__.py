"""Admission under pressure: less urgent requests wait while targets are crowded."""
