"""Load tool: open-loop callers of a site, and the figures of what they met."""
