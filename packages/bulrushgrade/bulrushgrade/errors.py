"""Errors that the library and its users return as values.

Each class is small and specific. Functions return them inside
``returns.result.Failure``; nothing here is raised, except
`BrokenInvariantError`, which stops the process.
"""

import attrs


class BrokenInvariantError(Exception):
    """A state that the program's own logic rules out; stops the process."""


@attrs.frozen(kw_only=True)
class BadRecord:
    """A record or message that can't be decoded.

    Attributes:
        reason: What was wrong, for a person.
    """

    reason: str


@attrs.frozen(kw_only=True)
class UnknownService:
    """No service of this name is registered with the kernel.

    Attributes:
        name: The name that was asked for.
    """

    name: str


@attrs.frozen(kw_only=True)
class DependencyCycle:
    """Services that need each other, so that none can start first.

    Attributes:
        names: The services on the cycle, sorted.
    """

    names: tuple[str, ...]


@attrs.frozen(kw_only=True)
class SettingsError:
    """One thing wrong in a daemon's settings file.

    Attributes:
        file: The file's path as it was given.
        section: The section, or empty where the file as a whole is at fault.
        key: The key, or empty where a section is at fault.
        reason: What was found.
        expected: What would have been right.
    """

    file: str
    section: str
    key: str
    reason: str
    expected: str


@attrs.frozen(kw_only=True)
class KeyConflict:
    """An idempotency key was used before for another request."""


@attrs.frozen(kw_only=True)
class OnceNotReady:
    """The stream of once-only requests has not been read to its end yet."""


@attrs.frozen(kw_only=True)
class OrderRefused:
    """An order can't be made now.

    Attributes:
        reason: Why, for a person.
    """

    reason: str
