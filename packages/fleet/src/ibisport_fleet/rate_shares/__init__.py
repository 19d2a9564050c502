"""Divides the rate limits that targets report among the routers."""
