"""What steps on watches of the store share: a log and a follower."""

import os

from ibisport_fleet.eventlog import EventLog


def open_log():
    """Return a log that nobody reads."""
    return EventLog(os.open(os.devnull, os.O_WRONLY))


class NewestContent:
    """Follows one key and keeps its newest content."""

    def __init__(self):
        self.content = b''

    def take_listing(self, listing, doubtful_until):
        """Take the key out of a listing."""
        for item in listing.items:
            self.content = item.content

    def take_change(self, change, doubtful_until):
        """Take a new version of the key."""
        self.content = change.content
