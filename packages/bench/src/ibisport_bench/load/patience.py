"""Starts sites with a longer timeout, for machines with other load."""

from ibisport_bench.site import Site, SiteNotReady


def start_patiently(site: Site) -> None:
    """Start a site and wait up to twice the usual time until it is ready.

    Args:
        site: The site to start.

    Raises:
        SiteNotReady: The site was not ready within that time.
    """
    try:
        site.start()
    except SiteNotReady:
        site.wait_ready()
