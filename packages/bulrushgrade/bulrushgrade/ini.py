"""Parses INI text against a typed schema and reports every error.

The standard library's parser stops at the first duplicate key or malformed
line. Fixing errors one at a time costs an operator one round per error, so this
module records the error, removes the line and continues.

The result must be identical on every daemon: no interpolation, no default
section, ASCII digits only, and size limits that are independent of the host.
"""

from collections.abc import Callable
from collections.abc import Iterable
import configparser
import io
import re
from typing import Any

import attrs

from bulrushgrade import errors

# Marks a key without a default.
REQUIRED: Any = object()

# An author handles some tens of errors at a time. A malicious text could
# contain thousands, each of which costs another pass over the text.
MAX_ERRORS = 50

_NUMBER = re.compile(r"[0-9]+(\.[0-9]+)?(e[+-]?[0-9]{1,3})?")
_DUPLICATE = "duplicate section in line "

# Name of the parser's default section, whose keys would appear in every other
# section. A header can't contain a line break, so no text can define it.
_UNREACHABLE_DEFAULT = "\n"


@attrs.frozen(kw_only=True)
class Key:
    """One key of a section.

    Attributes:
        name: The key, which is also the name of the attribute that it sets.
        convert: Converts a text to a value, or to None if it is invalid.
        expected: A description of valid texts, for error messages.
        render: Converts a value to its text.
        default: The value if the key is absent, or `REQUIRED`.
    """

    name: str
    convert: Callable[[str], Any]
    expected: str
    render: Callable[[Any], str] = str
    default: Any = REQUIRED


@attrs.frozen(kw_only=True)
class Section:
    """One kind of section.

    Attributes:
        name: The header, or its first word if `named`.
        factory: Called with the value of each key, and with `name` if `named`.
        keys: The allowed keys.
        named: Whether headers are ``[name NAME]`` and there may be several.
        name_pattern: Pattern that the name in a header must match.
        required: Whether at least one must be present. An optional section
            that is absent has the defaults of its keys; if it is `named`,
            there is none.
    """

    name: str
    factory: Callable[..., Any]
    keys: tuple[Key, ...]
    named: bool = False
    name_pattern: str = r"[a-z][a-z0-9-]{0,62}"
    required: bool = True


@attrs.define(kw_only=True)
class Parsed:
    """The result of parsing a text.

    Attributes:
        source: The text's origin, for error messages.
        objects: Objects by kind of section; invalid sections have none.
        names: Names in the headers by kind of section, invalid sections
            included.
        found_errors: Every error found so far.
    """

    source: str
    objects: dict[str, tuple[Any, ...]] = attrs.field(factory=dict)
    names: dict[str, tuple[str, ...]] = attrs.field(factory=dict)
    found_errors: list[errors.DocumentError] = attrs.field(factory=list)

    def single(self, kind: str) -> Any:
        """Returns the object of a section that occurs once, or None."""
        instances = self.objects.get(kind, ())
        return instances[0] if instances else None

    def add_error(
        self, section: str, key: str, reason: str, expected: str
    ) -> None:
        """Records an error."""
        self.found_errors.append(
            errors.DocumentError(
                source=self.source,
                section=section,
                key=key,
                reason=reason,
                expected=expected,
            )
        )


@attrs.frozen(kw_only=True)
class _RawSection:
    header: str
    name: str
    texts: dict[str, str]


def text_key(name: str, *, pattern: str, expected: str, **options: Any) -> Key:
    """Returns a key whose whole text must match a pattern."""
    compiled = re.compile(pattern)

    def convert(text: str) -> str | None:
        return text if compiled.fullmatch(text) else None

    return Key(name=name, convert=convert, expected=expected, **options)


def number_key(
    name: str,
    *,
    low: float,
    high: float,
    integer: bool = False,
    unit: str = "",
    **options: Any,
) -> Key:
    """Returns a key for a number from `low` to `high`, both included."""

    def convert(text: str) -> float | int | None:
        if not _NUMBER.fullmatch(text) or (integer and not text.isdigit()):
            return None
        value = int(text) if integer else float(text)
        return value if low <= value <= high else None

    kind = "a whole number" if integer else "a number"
    expected = f"{kind} {unit + ' ' if unit else ''}from {low:g} to {high:g}"
    return Key(
        name=name, convert=convert, expected=expected, render=repr, **options
    )


def boolean_key(name: str, **options: Any) -> Key:
    """Returns a key for a Boolean, written as yes or no."""
    return Key(
        name=name,
        convert={"yes": True, "no": False}.get,
        expected="yes or no",
        render=lambda value: "yes" if value else "no",
        **options,
    )


def list_key(name: str, *, pattern: str, expected: str, **options: Any) -> Key:
    """Returns a key for a list of unique words separated by commas."""
    compiled = re.compile(pattern)

    def convert(text: str) -> tuple[str, ...] | None:
        words = tuple(word.strip() for word in text.split(",") if word.strip())
        if len(set(words)) < len(words):
            return None
        return words if all(map(compiled.fullmatch, words)) else None

    return Key(
        name=name,
        convert=convert,
        expected=f"{expected}, separated by commas, each once",
        render=", ".join,
        **options,
    )


def parse_sections(
    text: str, *, source: str, schema: Iterable[Section], max_bytes: int
) -> Parsed:
    """Parses a text against a schema.

    Args:
        text: The INI text.
        source: The text's origin, for error messages.
        schema: The allowed kinds of sections.
        max_bytes: Maximum size in UTF-8; a larger text is not parsed.

    Returns:
        The objects and every error.
    """
    parsed = Parsed(source=source)
    size = len(text.encode("utf-8", "surrogatepass"))
    if size > max_bytes:
        parsed.add_error(
            "", "", f"{size} bytes long", f"at most {max_bytes} bytes"
        )
        return parsed
    parser = _read_with_recovery(text, parsed)
    kinds = {section.name: section for section in schema}
    seen: dict[str, list[_RawSection]] = {}
    for header in parser.sections():
        if header.startswith(_DUPLICATE):
            continue
        kind, _, name = header.partition(" ")
        section = kinds.get(kind)
        if section is None or section.named != bool(name):
            allowed = ", ".join(
                f"[{s.name} NAME]" if s.named else f"[{s.name}]"
                for s in kinds.values()
            )
            parsed.add_error(header, "", "unknown section", f"one of {allowed}")
            continue
        found = _RawSection(
            header=header, name=name, texts=dict(parser.items(header))
        )
        seen.setdefault(kind, []).append(found)
    for kind, section in kinds.items():
        _read_sections(section, seen.get(kind, []), parsed)
    return parsed


def serialize_sections(
    schema: Iterable[Section], objects: dict[str, Iterable[Any]]
) -> str:
    """Returns the INI text of objects, in the schema's order of sections."""
    out = io.StringIO()
    for section in schema:
        for instance in objects.get(section.name, ()):
            name = f" {instance.name}" if section.named else ""
            out.write(f"[{section.name}{name}]\n")
            for key in section.keys:
                value = getattr(instance, key.name)
                if value is not None:
                    out.write(f"{key.name} = {key.render(value)}\n")
            out.write("\n")
    return out.getvalue()


def _read_with_recovery(
    text: str, parsed: Parsed
) -> configparser.RawConfigParser:
    lines = text.split("\n")
    while True:
        parser = configparser.RawConfigParser(
            interpolation=None,
            delimiters=("=",),
            default_section=_UNREACHABLE_DEFAULT,
            empty_lines_in_values=False,
        )
        try:
            parser.read_string("\n".join(lines))
            return parser
        except configparser.DuplicateSectionError as error:
            parsed.add_error(
                error.section, "", "duplicate section", "each section once"
            )
            lines[error.lineno - 1] = f"[{_DUPLICATE}{error.lineno}]"
        except configparser.DuplicateOptionError as error:
            parsed.add_error(
                error.section, error.option, "duplicate key", "each key once"
            )
            lines[error.lineno - 1] = ""
        except configparser.MissingSectionHeaderError as error:
            reason = f"line {error.lineno} is before any section"
            parsed.add_error("", "", reason, "a [SECTION] header first")
            lines[error.lineno - 1] = ""
        except configparser.ParsingError as error:
            for number, line in error.errors:
                reason = f"line {number} can't be parsed: {line.strip()}"
                parsed.add_error("", "", reason, "[SECTION] or KEY = VALUE")
                lines[number - 1] = ""
        if len(parsed.found_errors) >= MAX_ERRORS:
            parsed.add_error(
                "", "", "too many errors to continue", "fewer errors"
            )
            return configparser.RawConfigParser(
                default_section=_UNREACHABLE_DEFAULT
            )


def _read_sections(
    section: Section,
    found: list[_RawSection],
    parsed: Parsed,
) -> None:
    if not found and section.required:
        header = f"{section.name} NAME" if section.named else section.name
        parsed.add_error(header, "", "missing", "at least one such section")
        return
    if not found and not section.named:
        instance = section.factory(
            **{key.name: key.default for key in section.keys}
        )
        parsed.objects[section.name] = (instance,)
        return
    parsed.names[section.name] = tuple(raw.name for raw in found)
    objects = []
    for raw in found:
        before = len(parsed.found_errors)
        if section.named and not re.fullmatch(section.name_pattern, raw.name):
            expected = f"a name matching {section.name_pattern}"
            parsed.add_error(raw.header, "", f"bad name {raw.name!r}", expected)
        values = _read_keys(section, raw, parsed)
        if section.named:
            values["name"] = raw.name
        if len(parsed.found_errors) == before:
            objects.append(section.factory(**values))
    parsed.objects[section.name] = tuple(objects)


def _read_keys(
    section: Section, raw: _RawSection, parsed: Parsed
) -> dict[str, Any]:
    values: dict[str, Any] = {}
    known = {key.name for key in section.keys}
    for name in raw.texts:
        if name not in known:
            expected = "one of " + ", ".join(key.name for key in section.keys)
            parsed.add_error(raw.header, name, "unknown key", expected)
    for key in section.keys:
        if key.name not in raw.texts:
            if key.default is REQUIRED:
                parsed.add_error(raw.header, key.name, "missing", key.expected)
            values[key.name] = key.default
            continue
        values[key.name] = key.convert(raw.texts[key.name])
        if values[key.name] is None:
            reason = f"bad value {raw.texts[key.name][:80]!r}"
            parsed.add_error(raw.header, key.name, reason, key.expected)
    return values
