"""Takes a router that can't serve out of the rotation while others can serve."""
