"""Decides by times whether an engine should copy cached parts from another one."""

from dataclasses import dataclass

from ibisport_fleet.placing.backlog import is_crowded
from ibisport_fleet.placing.pace import ServicePace
from ibisport_fleet.target_choice import Candidate

# Setting up a copy takes as long as the limits by tokens and by speed imply: 500 tokens
# are read at 25 microseconds each in as much time as they are copied at 5.
COPY_SETUP_SECONDS = 0.01


@dataclass(frozen=True, slots=True)
class CopyTimes:
    """Compares the time of a copy with the time of reading.

    Attributes:
        pace: How fast engines read, and the copies that this router has started.
        copy_seconds_per_token: Time to copy the memory of a token.
    """

    pace: ServicePace
    copy_seconds_per_token: float

    def may_copy_from(self, source: Candidate, now: float) -> bool:
        """Return whether an engine has capacity left to send its memory.

        Args:
            source: The engine.
            now: Loop time.
        """
        return not is_crowded(source, now)

    def saves_time(
        self, chosen: Candidate, source: Candidate, tokens: int, now: float
    ) -> bool | None:
        """Return whether copying takes less time than reading.

        Copies from one engine share its link, so they are assumed to queue.

        Args:
            chosen: The engine that would fetch the tokens.
            source: The engine that has cached them.
            tokens: Their number.
            now: Loop time.

        Returns:
            None until the time of reading was observed.
        """
        reading = self.pace.estimate_reading_seconds(chosen, tokens, now)
        if reading is None:
            return None
        queued = self.pace.count_copied_tokens(source.entry.start_id)
        copying = (queued + tokens) * self.copy_seconds_per_token
        return COPY_SETUP_SECONDS + copying < reading
