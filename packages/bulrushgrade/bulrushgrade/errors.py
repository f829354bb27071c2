"""Errors that the library and its users return as values.

Functions return them inside ``returns.result.Failure``. None is raised except
`BrokenInvariantError`, which stops the process.
"""

import attrs


class BrokenInvariantError(Exception):
    """A state that the program's logic rules out; it stops the process."""


@attrs.frozen(kw_only=True)
class BadRecord:
    """A record or message that can't be decoded.

    Attributes:
        reason: A human-readable description of the error.
    """

    reason: str


@attrs.frozen(kw_only=True)
class UnknownService:
    """No service of this name is registered with the kernel.

    Attributes:
        name: The requested name.
    """

    name: str


@attrs.frozen(kw_only=True)
class DependencyCycle:
    """Services whose dependencies form a cycle, so that none can start.

    Attributes:
        names: The services on the cycle, sorted.
    """

    names: tuple[str, ...]


@attrs.frozen(kw_only=True)
class SettingsError:
    """One error in a daemon's settings file.

    Attributes:
        file: The file's path as given.
        section: The section, or empty if the error concerns the whole file.
        key: The key, or empty if the error concerns a whole section.
        reason: What is wrong.
        expected: What would be valid.
    """

    file: str
    section: str
    key: str
    reason: str
    expected: str


@attrs.frozen(kw_only=True)
class BadHostList:
    """An invalid response from the host list service.

    Attributes:
        reason: A human-readable description of the error.
    """

    reason: str


@attrs.frozen(kw_only=True)
class StaleHostList:
    """A host list that is older than the current one.

    Attributes:
        version: The version of the older list.
        current: The version of the current list.
    """

    version: int
    current: int


@attrs.frozen(kw_only=True)
class StalePeerMessage:
    """A peer's message that arrived after a newer one from the same peer.

    Attributes:
        sender: The peer.
        sequence: The message's sequence number.
    """

    sender: str
    sequence: int


@attrs.frozen(kw_only=True)
class DocumentError:
    """One error in a document, with what its author needs to fix it.

    Attributes:
        source: The file or record that contains the text.
        section: The section's header without brackets, or "" if the error
            concerns the whole document.
        key: The key, or "" if the error concerns the whole section.
        reason: What is wrong.
        expected: What would be valid.
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
    """An idempotency key was already used for a different request."""


@attrs.frozen(kw_only=True)
class OnceNotReady:
    """The stream of once-only requests has not been read to its end yet."""


@attrs.frozen(kw_only=True)
class UnsupportedRules:
    """A publish that needs validation rules this release does not support.

    Attributes:
        offset: The offset of the publish, at which the registry stopped.
        validation: The number of the rules that it needs.
    """

    offset: int
    validation: int


@attrs.frozen(kw_only=True)
class RegistryNotReady:
    """A registry whose state must not be served from yet.

    Attributes:
        reason: A human-readable explanation.
        next_offset: Offset up to which the stream has been applied.
    """

    reason: str
    next_offset: int


@attrs.frozen(kw_only=True)
class BadSnapshot:
    """A snapshot or checkpoint that can't be restored.

    Attributes:
        reason: A human-readable description of the error.
    """

    reason: str


@attrs.frozen(kw_only=True)
class OrderRefused:
    """An order can't be created now.

    Attributes:
        reason: A human-readable explanation.
    """

    reason: str
