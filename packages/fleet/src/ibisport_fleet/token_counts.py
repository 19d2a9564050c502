"""Numbers of tokens in messages between routers and in the records of the store."""

from typing import Annotated

from msgspec import Meta

# The largest integer that every JSON implementation represents exactly.
MAX_TOKENS = 2**53
# The lower bound is 0 because a negative count would create tokens.
TokenCount = Annotated[int, Meta(ge=0, le=MAX_TOKENS)]
