"""Load tool: open-loop callers of a site, with their latencies and counts."""
