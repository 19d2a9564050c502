"""The asyncio core of ibisport: routing, budgets, retries and membership."""
