"""The ibisport agent: runs routers' requests at one target."""
