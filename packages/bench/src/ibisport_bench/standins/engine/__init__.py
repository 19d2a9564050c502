"""Stand-in for a model engine that batches continuously."""
