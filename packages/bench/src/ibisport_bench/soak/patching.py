"""Patches programs in memory."""


def patch(owner: object, name: str, value: object) -> None:
    """Replace an attribute.

    Raises:
        AttributeError: The attribute doesn't exist: without this error, the mutant
            would run as the unpatched program.
    """
    getattr(owner, name)
    setattr(owner, name, value)
