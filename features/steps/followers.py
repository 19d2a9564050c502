"""What steps on watches of the store share: logs and a follower."""

import json
import os

from ibisport_fleet.eventlog import EventLog


def open_null_log():
    """Return a log that nobody reads."""
    return EventLog(os.open(os.devnull, os.O_WRONLY))


class ReadableLog(EventLog):
    """A log whose events can be read."""

    def __init__(self):
        self._file = os.memfd_create('log')
        super().__init__(self._file)

    def list_events(self, event):
        """Return the details of all events of a kind."""
        content = os.pread(self._file, os.fstat(self._file).st_size, 0)
        records = [json.loads(line) for line in content.splitlines()]
        return [one for one in records if one['event'] == event]


class NewestContent:
    """Follows one key and keeps its newest content."""

    def __init__(self):
        self.content = b''

    def apply_listing(self, listing, doubtful_until):
        """Take the key out of a listing."""
        for item in listing.items:
            self.content = item.content

    def apply_change(self, change, doubtful_until):
        """Take a new version of the key."""
        self.content = change.content
