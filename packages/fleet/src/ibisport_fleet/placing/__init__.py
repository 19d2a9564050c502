"""Places requests on engines by the load and the pace that this router observes."""
