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
class BadHostList:
    """An answer of the host list that can't be used.

    Attributes:
        reason: What was wrong, for a person.
    """

    reason: str


@attrs.frozen(kw_only=True)
class StaleHostList:
    """A host list older than one that is already in force.

    Attributes:
        version: The version of the older list.
        current: The version in force.
    """

    version: int
    current: int


@attrs.frozen(kw_only=True)
class StalePeerMessage:
    """A peer's message that a newer one has overtaken.

    Attributes:
        sender: The peer.
        sequence: The message's number.
    """

    sender: str
    sequence: int


@attrs.frozen(kw_only=True)
class DocumentError:
    """One fault of a document, named so that its author can mend it.

    Attributes:
        source: The file or record that the text came from.
        section: The section's header without brackets, or "" for the whole.
        key: The key, or "" where the section itself is at fault.
        reason: What is wrong.
        expected: What would be right.
    """

    source: str
    section: str
    key: str
    reason: str
    expected: str

    def __str__(self) -> str:
        place = f"[{self.section}]" if self.section else "document"
        if self.key:
            place += f" {self.key}"
        return (
            f"{self.source}: {place}: {self.reason}; expected {self.expected}"
        )


@attrs.frozen(kw_only=True)
class KeyConflict:
    """An idempotency key was used before for another request."""


@attrs.frozen(kw_only=True)
class OnceNotReady:
    """The stream of once-only requests has not been read to its end yet."""


@attrs.frozen(kw_only=True)
class UnsupportedRules:
    """A publish that this release has no rules for.

    Attributes:
        offset: Where the fold stopped.
        validation: The number of the rules that it would take.
    """

    offset: int
    validation: int


@attrs.frozen(kw_only=True)
class RegistryNotReady:
    """Why a registry may not yet be served from.

    Attributes:
        reason: For a person.
        next_offset: Up to where the stream has been folded.
    """

    reason: str
    next_offset: int


@attrs.frozen(kw_only=True)
class BadSnapshot:
    """A snapshot or checkpoint that can't be taken over.

    Attributes:
        reason: What was wrong, for a person.
    """

    reason: str


@attrs.frozen(kw_only=True)
class OrderRefused:
    """An order can't be made now.

    Attributes:
        reason: Why, for a person.
    """

    reason: str
