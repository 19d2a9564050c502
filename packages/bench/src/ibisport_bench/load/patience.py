"""Starts sites on machines that are busy with other work."""

from ibisport_bench.site import Site, SiteNotReady


def start_patiently(site: Site) -> None:
    """Start a site, and wait twice as long as usual until it is ready.

    Args:
        site: The site; its processes run afterwards.

    Raises:
        SiteNotReady: It was not ready even then.
    """
    try:
        site.start()
    except SiteNotReady:
        site.wait_ready()
