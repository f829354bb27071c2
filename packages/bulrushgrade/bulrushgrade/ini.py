"""Typed reading of INI text against a schema, naming every error.

The standard library's parser stops at the first repeated key or broken line.
An operator who mends one fault a round loses a round a fault, so the reader
here notes the fault, takes the line out and reads on.

The result must be the same on every daemon: no interpolation, no default
section, ASCII digits only, and limits on size that don't depend on the host.
"""

from collections.abc import Callable
from collections.abc import Iterable
import configparser
import io
import re
from typing import Any

import attrs

from bulrushgrade import errors

# Marks a key that has no default.
REQUIRED: Any = object()

# An author reads some tens of faults at a time; a hostile text could name
# thousands and would make each of them cost another pass over the text.
MAX_ERRORS = 50

_NUMBER = re.compile(r"[0-9]+(\.[0-9]+)?(e[+-]?[0-9]{1,3})?")
_DUPLICATE = "duplicate section in line "

# No header can hold a line break, so no text can open the parser's default
# section, whose keys would show up in every other section.
_UNREACHABLE_DEFAULT = "\n"


@attrs.frozen(kw_only=True)
class Key:
    """One key of a section.

    Attributes:
        name: The key, which is also the attribute that it sets.
        convert: Returns the value of a text, or None where it has none.
        expected: What the text has to be, for a person.
        render: Returns the text of a value.
        default: The value of an absent key, or `REQUIRED`.
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
        name: Its header, or the header's first word where `named`.
        factory: Called with each key's value, and `name` where `named`.
        keys: The keys that it may have.
        named: Whether headers are ``[name NAME]`` and may stand repeatedly.
        name_pattern: What the name in a header has to match.
        required: Whether at least one has to be there. An absent section that
            is not required has the defaults of its keys.
    """

    name: str
    factory: Callable[..., Any]
    keys: tuple[Key, ...]
    named: bool = False
    name_pattern: str = r"[a-z][a-z0-9-]{0,62}"
    required: bool = True


@attrs.define(kw_only=True)
class Parsed:
    """What was read.

    Attributes:
        source: Where the text came from.
        objects: What sections of a kind made; sections with a fault made none.
        names: The names of all named sections of a kind, faulty ones too.
        found_errors: Every error found so far.
    """

    source: str
    objects: dict[str, tuple[Any, ...]] = attrs.field(factory=dict)
    names: dict[str, tuple[str, ...]] = attrs.field(factory=dict)
    found_errors: list[errors.DocumentError] = attrs.field(factory=list)

    def single(self, kind: str) -> Any:
        """Returns the object of a section that stands once, or None."""
        instances = self.objects.get(kind, ())
        return instances[0] if instances else None

    def add_error(
        self, section: str, key: str, reason: str, expected: str
    ) -> None:
        """Notes an error."""
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
    """Returns a key whose text has to match a pattern as a whole."""
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
    """Returns a key for a number within limits that belong to the range."""

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
    """Returns a key for yes or no."""
    return Key(
        name=name,
        convert={"yes": True, "no": False}.get,
        expected="yes or no",
        render=lambda value: "yes" if value else "no",
        **options,
    )


def list_key(name: str, *, pattern: str, expected: str, **options: Any) -> Key:
    """Returns a key for words between commas, none of them twice."""
    compiled = re.compile(pattern)

    def convert(text: str) -> tuple[str, ...] | None:
        words = tuple(word.strip() for word in text.split(",") if word.strip())
        if len(set(words)) < len(words):
            return None
        return words if all(map(compiled.fullmatch, words)) else None

    return Key(
        name=name,
        convert=convert,
        expected=f"{expected}, between commas, each once",
        render=", ".join,
        **options,
    )


def parse_sections(
    text: str, *, source: str, schema: Iterable[Section], max_bytes: int
) -> Parsed:
    """Reads a text against a schema.

    Args:
        text: The INI text.
        source: Where it came from, for the errors.
        schema: The kinds of sections that may stand in it.
        max_bytes: The longest text in UTF-8 that is read at all.

    Returns:
        What was read, with every error.
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
    """Returns the INI text of objects, section kinds in the schema's order."""
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
                error.section, "", "stands twice", "each section once"
            )
            lines[error.lineno - 1] = f"[{_DUPLICATE}{error.lineno}]"
        except configparser.DuplicateOptionError as error:
            parsed.add_error(
                error.section, error.option, "stands twice", "each key once"
            )
            lines[error.lineno - 1] = ""
        except configparser.MissingSectionHeaderError as error:
            reason = f"line {error.lineno} stands before any section"
            parsed.add_error("", "", reason, "[SECTION] first")
            lines[error.lineno - 1] = ""
        except configparser.ParsingError as error:
            for number, line in error.errors:
                reason = f"line {number} can't be read: {line.strip()}"
                parsed.add_error("", "", reason, "[SECTION] or KEY = VALUE")
                lines[number - 1] = ""
        if len(parsed.found_errors) >= MAX_ERRORS:
            parsed.add_error("", "", "too many errors to go on", "fewer errors")
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
            expected = f"a name that matches {section.name_pattern}"
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
