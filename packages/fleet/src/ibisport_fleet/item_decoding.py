"""Decodes what the store contains."""

from collections.abc import Callable
from typing import TypeVar

import msgspec

from ibisport_fleet.errors import RecordInvalid
from ibisport_fleet.store import Item

_Content = TypeVar('_Content')


def decode_item(decode: Callable[[bytes], _Content], item: Item) -> _Content:
    """Return the decoded content of an item.

    Args:
        decode: Decodes and validates the content.
        item: The item.

    Raises:
        RecordInvalid: The content is not valid.
    """
    try:
        return decode(item.content)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise RecordInvalid(f'{item.key}: {error!r}') from error
